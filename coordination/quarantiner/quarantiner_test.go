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
	q.RecordCrash("a/1", []uint64{7, 8})
	q.RecordCrash("a/1", []uint64{7})
	assert.Equal(t, q.Status(7), quarantiner.Suspect, "status after one crash that was recorded twice")
	assert.DeepEqual(t, q.RecordCrash("b/1", []uint64{7}), []uint64{7})
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
	q.RecordCrash("a/1", []uint64{7})
	q.RecordCrash("b/1", []uint64{7})
	assert.Equal(t, q.Status(7), quarantiner.Clean)
}
