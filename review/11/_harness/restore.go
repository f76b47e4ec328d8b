package main

import (
	"fmt"
	"time"
)

// Bounds of the site, in force for the scenarios.
const (
	contactTimeout    = 3 * time.Second
	evacuationBound   = 5 * time.Second
	configPropagation = 2500 * time.Millisecond
)

// evacuationAfterRestore plays a drill: the store goes away and comes back from a copy that is some seconds old. The
// operator writes the newest desired state again and, once all is calm, evacuates a zone.
func evacuationAfterRestore(c *cluster, trouble bool) (string, error) {
	stop := c.clients(false)
	defer stop()
	time.Sleep(2 * time.Second)
	copied := c.store.copyState()
	c.record.note("the copy is made at version %d", copied.version)
	newest := 1
	for range 4 {
		time.Sleep(500 * time.Millisecond)
		newest++
		c.putConfig(newest, 2.0+float64(newest)/10)
	}
	time.Sleep(time.Second)
	if trouble {
		c.store.goAway()
		c.record.note("the store is away")
		time.Sleep(time.Second)
		c.store.comeBack(&copied)
		c.record.note("the store is back from the copy, version %d", c.store.currentVersion())
	}
	time.Sleep(200 * time.Millisecond)
	c.putConfig(newest, 2.0+float64(newest)/10)
	time.Sleep(2*contactTimeout + time.Second)
	version := c.store.put("op", "evacuate/"+zoneB, []byte("{}"))
	ackedAt := time.Now()
	c.record.note("operator: the store acknowledges the evacuation of %s with version %d", zoneB, version)
	time.Sleep(evacuationBound + 10*time.Second)
	late := c.record.matching(func(a arrival) bool { return a.Zone == zoneB && a.At.After(ackedAt.Add(evacuationBound)) })
	others := c.record.matching(func(a arrival) bool { return a.Zone == zoneA && a.At.After(ackedAt.Add(evacuationBound)) })
	c.record.note("later than %v after the ack: %d requests reached %s, %d reached %s", evacuationBound, len(late), zoneB, len(others), zoneA)
	if len(others) == 0 && len(late) == 0 {
		return "", fmt.Errorf("no requests were served")
	}
	if len(late) > 0 {
		return fmt.Sprintf("EVAC: %d requests reached instances in %s", len(late), zoneB), nil
	}
	return "", nil
}
