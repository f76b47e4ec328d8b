package selector_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrasspoint"
	"eelgrasspoint/coordination/assigner"
	"eelgrasspoint/coordination/selector"
)

// view returns the view of a node. Members are given as "region/zone/name"; their full name is that.
func view(self string, members ...string) *eelgrasspoint.MembershipView {
	v := &eelgrasspoint.MembershipView{}
	for _, text := range members {
		var region, zone, name string
		_, _ = fmt.Sscanf(text, "%1s/%1s/%s", &region, &zone, &name)
		m := eelgrasspoint.Member{Name: text, Region: region, AvailabilityZone: region + zone}
		if name == "dead" {
			m.Failed = true
		}
		if text == self {
			v.Self = m
		}
		v.Members = append(v.Members, m)
	}
	return v
}

func TestSelected(t *testing.T) {
	cases := []struct {
		name     string
		members  []string
		selected []string
	}{
		{"alone", []string{"a/1/1"}, []string{"a/1/1"}},
		{"one zone", []string{"a/1/1", "a/1/2", "a/1/3"}, []string{"a/1/1", "a/1/2"}},
		{"one of each zone", []string{"a/1/1", "a/1/2", "a/2/1", "a/2/2", "a/3/1"}, []string{"a/1/1", "a/2/1", "a/3/1"}},
		{"of each region", []string{"a/1/1", "a/2/1", "a/2/2", "b/1/1", "b/1/2", "b/1/3"}, []string{"a/1/1", "a/2/1", "b/1/1", "b/1/2"}},
		{"in place of one that failed", []string{"a/1/dead", "a/1/x", "a/1/y", "a/1/z"}, []string{"a/1/x", "a/1/y"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var selected []string
			for _, name := range c.members {
				v := view(name, c.members...)
				if v.Self.Alive() && selector.New(time.Now).Selects(v) {
					selected = append(selected, name)
				}
			}
			assert.DeepEqual(t, selected, c.selected)
		})
	}
}

// TestSelectedNodeTellsItsZone guards against nodes of the same zone that wait for others to pass a change, and against a node
// that tells more of them than it can serve.
func TestSelectedNodeTellsItsZone(t *testing.T) {
	members := []string{"a/1/1", "a/1/2", "a/1/3", "a/2/1", "a/2/2", "b/1/1"}
	s := selector.New(time.Now)
	told := s.Told(view("a/1/1", members...))
	assert.Equal(t, len(told), 2)
	assert.Equal(t, told[0].Name+told[1].Name, "a/1/2a/1/3")
	assert.Equal(t, len(s.Told(view("a/1/2", members...))), 0, "a node that is not selected")
	for i := range 100 {
		members = append(members, fmt.Sprintf("a/1/x%d", i))
	}
	assert.Equal(t, len(s.Told(view("a/1/1", members...))), 16)
}

// TestAloneWithoutTheNodeBefore guards against a node that waits for the changes of others though the one that passes them to
// it is gone, and against one that reads all changes itself though that one lives.
func TestAloneWithoutTheNodeBefore(t *testing.T) {
	now := time.Unix(1000, 0)
	v := view("a/1/2", "a/1/1", "a/1/2", "a/1/3", "a/1/4")
	before := assigner.New(v.Members).Predecessor(v.Self)
	s := selector.New(func() time.Time { return now })
	assert.Assert(t, s.Alone(v), "not heard of yet")
	s.Hear(before)
	assert.Assert(t, !s.Alone(v))
	now = now.Add(eelgrasspoint.HeartbeatInterval * 5 / 4)
	assert.Assert(t, !s.Alone(v), "a late heartbeat")
	now = now.Add(eelgrasspoint.HeartbeatInterval / 2)
	for _, m := range v.Members {
		if m.Name != before {
			s.Hear(m.Name)
		}
	}
	assert.Assert(t, s.Alone(v), "heard of the others only")
	s.Hear(before)
	assert.Assert(t, !s.Alone(v))
	now = now.Add(2 * eelgrasspoint.HeartbeatInterval)
	s.Answered(now.Add(-eelgrasspoint.HeartbeatInterval))
	assert.Assert(t, !s.Alone(v), "a selected node has answered")
	now = now.Add(eelgrasspoint.HeartbeatInterval)
	assert.Assert(t, s.Alone(v), "it has answered a while ago")
	assert.Assert(t, s.Alone(view("b/1/1", "b/1/1", "a/1/1")), "alone in its region")
}

// TestChangesReachAllThatLive guards against nodes that nobody passes changes to, whichever nodes are gone.
func TestChangesReachAllThatLive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		count := rapid.IntRange(1, 40).Draw(t, "nodes")
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		var names []string
		gone := make(map[string]bool)
		for i := range count {
			name := fmt.Sprintf("a/%d/%d", i%zones, i)
			names = append(names, name)
			gone[name] = rapid.Bool().Draw(t, "gone")
		}
		has := make(map[string]bool)
		targets := make(map[string][]eelgrasspoint.Member)
		for _, name := range names {
			v := view(name, names...)
			s := selector.New(func() time.Time { return now })
			targets[name] = assigner.New(v.Members).HeartbeatTargets(v.Self, 0)
			for _, other := range names {
				if !gone[other] && other != name {
					s.Hear(other)
				}
			}
			has[name] = !gone[name] && (s.Selects(v) || s.Alone(v))
		}
		for range names {
			for _, name := range names {
				for _, target := range targets[name] {
					has[target.Name] = has[target.Name] || has[name] && !gone[target.Name]
				}
			}
		}
		for _, name := range names {
			if !gone[name] && !has[name] {
				t.Fatalf("no change reaches %s", name)
			}
		}
	})
}
