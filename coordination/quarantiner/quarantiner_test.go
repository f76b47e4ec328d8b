package quarantiner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/quarantiner"
)

// suspects returns requests in flight with the fingerprints.
func suspects(fingerprints ...uint64) []eelgrasspoint.CrashSuspect {
	list := make([]eelgrasspoint.CrashSuspect, len(fingerprints))
	for i, fingerprint := range fingerprints {
		list[i] = eelgrasspoint.CrashSuspect{Head: 1, Fingerprint: fingerprint, BodyKnown: true}
	}
	return list
}

func TestSecondCrashQuarantines(t *testing.T) {
	now := time.Unix(0, 0)
	q := quarantiner.New(func() time.Time { return now })
	q.RecordCrash("a/1", suspects(7, 8))
	q.RecordCrash("a/1", suspects(7))
	assert.Equal(t, q.Status(7), quarantiner.Suspect, "status after one crash that was recorded twice")
	quarantined := q.RecordCrash("b/1", suspects(7))
	assert.Equal(t, len(quarantined), 1)
	assert.Equal(t, quarantined[0].Fingerprint, uint64(7))
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
	q.RecordCrash("a/1", suspects(7))
	q.RecordCrash("b/1", suspects(7))
	assert.Equal(t, q.Status(7), quarantiner.Clean)
}

// TestHeadsOfACrashNeedFingerprints guards against a request whose body is not known before it runs, and that therefore
// crashes one backend server after the other.
func TestHeadsOfACrashNeedFingerprints(t *testing.T) {
	now := time.Unix(0, 0)
	q := quarantiner.New(func() time.Time { return now })
	assert.Assert(t, !q.NeedsFingerprint(3))
	q.RecordCrash("a/1", []eelgrasspoint.CrashSuspect{{Head: 3}})
	assert.Assert(t, q.NeedsFingerprint(3))
	assert.Assert(t, !q.NeedsFingerprint(4))
	now = now.Add(eelgrasspoint.QuarantineTime + time.Second)
	assert.Assert(t, !q.NeedsFingerprint(3))
	for head := range uint64(2 * eelgrasspoint.MaxQuarantineRecords) {
		q.RecordCrash("b/1", []eelgrasspoint.CrashSuspect{{Head: head}})
	}
	assert.Assert(t, !q.NeedsFingerprint(2*eelgrasspoint.MaxQuarantineRecords-1), "the number of heads is not bounded")
}

// TestQuarantinesAreLearned guards against a quarantine that other nodes never learn, that reaches a region which may not
// receive it, or that lasts longer since it is told again.
func TestQuarantinesAreLearned(t *testing.T) {
	now := time.Unix(0, 0)
	clock := func() time.Time { return now }
	first, second := quarantiner.New(clock), quarantiner.New(clock)
	bound := eelgrasspoint.CrashSuspect{Head: 2, Fingerprint: 9, BodyKnown: true, Permitted: []string{"a"}}
	for _, crash := range []string{"x/1", "x/2"} {
		first.RecordCrash(crash, append(suspects(7), bound))
	}
	first.RecordCrash("x/3", suspects(8))
	assert.Equal(t, first.Digest("b"), first.Digest("a", "b"))
	assert.Assert(t, first.Digest("a") != first.Digest("b"))
	second.Learn(first.Quarantines("b"))
	assert.Equal(t, second.Digest("a", "b"), first.Digest("a", "b"))
	assert.Equal(t, second.Status(7), quarantiner.Quarantined)
	assert.Equal(t, second.Status(8), quarantiner.Clean, "a suspect is told as quarantined")
	assert.Equal(t, second.Status(9), quarantiner.Clean, "a region got what it may not receive")
	now = now.Add(eelgrasspoint.QuarantineTime / 2)
	second.Learn(first.Quarantines("b"))
	first.Learn(second.Quarantines("a"))
	now = now.Add(eelgrasspoint.QuarantineTime/2 + time.Second)
	assert.Equal(t, first.Status(7), quarantiner.Clean)
	assert.Equal(t, second.Status(7), quarantiner.Clean)
	assert.Equal(t, second.Digest("a"), uint64(0))
}

// TestSuccessElsewhereEndsAQuarantine guards against a popular request that all nodes refuse, since it was in flight at two
// crashes before it succeeded at one of them.
func TestSuccessElsewhereEndsAQuarantine(t *testing.T) {
	first, second := quarantiner.New(time.Now), quarantiner.New(time.Now)
	first.RecordCrash("x/1", suspects(7, 8))
	first.RecordCrash("x/2", suspects(7, 8))
	first.MarkStored(first.Quarantines(), true)
	second.RecordSuccess(7)
	disproved := second.Learn(first.Quarantines())
	assert.DeepEqual(t, disproved, []uint64{7})
	assert.Equal(t, second.Status(7), quarantiner.Clean)
	first.Clear(disproved)
	assert.Equal(t, first.Status(7), quarantiner.Clean)
	assert.Equal(t, first.Status(8), quarantiner.Quarantined)
	assert.DeepEqual(t, first.TakeCleared(), []uint64{7})
	assert.Equal(t, first.Digest(), second.Digest())
	first.RecordCrash("x/3", suspects(7))
	first.RecordCrash("x/4", suspects(7))
	assert.Equal(t, first.Status(7), quarantiner.Clean)
}
