package tracker_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrasspoint"
	"eelgrasspoint/coordination/tracker"
)

func member(name string, version uint64) eelgrasspoint.Member {
	return eelgrasspoint.Member{Name: name, Incarnation: 1, Version: version}
}

// TestUpdateIsSentUntilItIsAcknowledged guards against an update that a node never gets because a response was lost, and
// against one that is sent again though the node has it.
func TestUpdateIsSentUntilItIsAcknowledged(t *testing.T) {
	tr, now := tracker.New(), time.Unix(100, 0)
	updates := []eelgrasspoint.Member{member("a", 1)}
	assert.Equal(t, len(tr.Missing("n", updates, now)), 1)
	tr.Sent("n", updates, now)
	assert.Equal(t, len(tr.Missing("n", updates, now.Add(eelgrasspoint.HeartbeatInterval-1))), 0)
	assert.Equal(t, len(tr.Missing("n", updates, now.Add(eelgrasspoint.HeartbeatInterval))), 1, "the response may be lost")
	tr.Acknowledge("n", updates)
	assert.Equal(t, len(tr.Missing("n", updates, now.Add(time.Minute))), 0)
	assert.Equal(t, len(tr.Missing("other", updates, now)), 1)
	assert.Equal(t, len(tr.Missing("n", []eelgrasspoint.Member{member("a", 2)}, now)), 1, "a later version")
	tr.Forget("n")
	assert.Equal(t, len(tr.Missing("n", updates, now)), 1, "the node may have restarted")
}

// TestNoUpdateIsWithheld guards against a node that an update does not reach, in whatever order updates are sent,
// acknowledged and replaced by later ones, also if there are more than fit in a message.
func TestNoUpdateIsWithheld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, now := tracker.New(), time.Unix(100, 0)
		versions := make([]uint64, rapid.IntRange(1, 3*eelgrasspoint.MaxUpdatesPerMessage).Draw(t, "members"))
		got := make(map[string]uint64)
		updates := func() []eelgrasspoint.Member {
			var list []eelgrasspoint.Member
			for i, version := range versions {
				list = append(list, member(fmt.Sprint(i), version))
			}
			return list
		}
		exchange := func(responseLost bool) {
			missing := tr.Missing("n", updates(), now)
			if responseLost {
				tr.Sent("n", missing, now)
				return
			}
			for _, m := range missing {
				got[m.Name] = max(got[m.Name], m.Version+1)
			}
			tr.Acknowledge("n", missing)
		}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			versions[rapid.IntRange(0, len(versions)-1).Draw(t, "changed")]++
			exchange(rapid.Bool().Draw(t, "response lost"))
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "gap in ms")) * time.Millisecond)
		}
		now = now.Add(eelgrasspoint.HeartbeatInterval)
		for range 3 {
			exchange(false)
		}
		for i, version := range versions {
			if got[fmt.Sprint(i)] != version+1 {
				t.Fatalf("the node has version %d of member %d, want %d", got[fmt.Sprint(i)], i, version+1)
			}
		}
	})
}

// TestNamesWithoutEndAreForgotten guards against memory that grows with the names in messages of others.
func TestNamesWithoutEndAreForgotten(t *testing.T) {
	tr, now := tracker.New(), time.Unix(100, 0)
	updates := []eelgrasspoint.Member{member("a", 1)}
	for i := range 1000 {
		tr.Acknowledge(fmt.Sprint(i), updates)
	}
	forgotten := 0
	for i := range 1000 {
		forgotten += len(tr.Missing(fmt.Sprint(i), updates, now))
	}
	assert.Assert(t, forgotten >= 700, "%d of 1000", forgotten)
}
