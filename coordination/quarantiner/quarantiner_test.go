package quarantiner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/quarantiner"
)

func TestSecondCrashQuarantines(t *testing.T) {
	now := time.Unix(0, 0)
	q := quarantiner.New(func() time.Time { return now })
	q.RecordCrash("a/1", []uint64{7, 8}, nil)
	q.RecordCrash("a/1", []uint64{7}, nil)
	assert.Equal(t, q.Status(7), quarantiner.Suspect, "status after one crash that was recorded twice")
	assert.DeepEqual(t, q.RecordCrash("b/1", []uint64{7}, nil), []uint64{7})
	assert.Equal(t, q.Status(7), quarantiner.Quarantined)
	assert.Equal(t, q.Status(8), quarantiner.Suspect)
	q.RecordSuccess(8)
	assert.Equal(t, q.Status(8), quarantiner.Clean)
	q.RecordSuccess(7)
	assert.Equal(t, q.Status(7), quarantiner.Quarantined, "status after a success during the quarantine")
	now = now.Add(eelgrasspoint.QuarantineTime + time.Second)
	assert.Equal(t, q.Status(7), quarantiner.Clean)
}

func TestCrashesDoNotCountAfterSuccess(t *testing.T) {
	q := quarantiner.New(time.Now)
	q.RecordSuccess(7)
	q.RecordCrash("a/1", []uint64{7}, nil)
	q.RecordCrash("b/1", []uint64{7}, nil)
	assert.Equal(t, q.Status(7), quarantiner.Clean)
}

// TestHeadsOfACrashNeedFingerprints guards against a request whose body is not known before it runs, and that therefore
// crashes one backend server after the other.
func TestHeadsOfACrashNeedFingerprints(t *testing.T) {
	now := time.Unix(0, 0)
	q := quarantiner.New(func() time.Time { return now })
	assert.Assert(t, !q.NeedsFingerprint(3))
	q.RecordCrash("a/1", nil, []uint64{3})
	assert.Assert(t, q.NeedsFingerprint(3))
	assert.Assert(t, !q.NeedsFingerprint(4))
	now = now.Add(eelgrasspoint.QuarantineTime + time.Second)
	assert.Assert(t, !q.NeedsFingerprint(3))
	for head := range uint64(2 * eelgrasspoint.MaxQuarantineRecords) {
		q.RecordCrash("b/1", nil, []uint64{head})
	}
	assert.Assert(t, !q.NeedsFingerprint(2*eelgrasspoint.MaxQuarantineRecords-1), "the number of heads is not bounded")
}
