package quarantiner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/quarantiner"
)

func TestSecondCrashBars(t *testing.T) {
	now := time.Unix(0, 0)
	q := quarantiner.New(func() time.Time { return now })
	q.Crash("a/1", []uint64{7, 8})
	q.Crash("a/1", []uint64{7})
	assert.Equal(t, q.Standing(7), quarantiner.Suspect, "one crash, told twice")
	assert.DeepEqual(t, q.Crash("b/1", []uint64{7}), []uint64{7})
	assert.Equal(t, q.Standing(7), quarantiner.Barred)
	assert.Equal(t, q.Standing(8), quarantiner.Suspect)
	q.Clear(8)
	assert.Equal(t, q.Standing(8), quarantiner.Clean)
	q.Clear(7)
	assert.Equal(t, q.Standing(7), quarantiner.Barred, "a late success does not free what is barred")
	now = now.Add(eelgrasspoint.QuarantineTime + time.Second)
	assert.Equal(t, q.Standing(7), quarantiner.Clean)
}

func TestWhatRanWellIsNoSuspect(t *testing.T) {
	q := quarantiner.New(time.Now)
	q.Clear(7)
	q.Crash("a/1", []uint64{7})
	q.Crash("b/1", []uint64{7})
	assert.Equal(t, q.Standing(7), quarantiner.Clean)
}
