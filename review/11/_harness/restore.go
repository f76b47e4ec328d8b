package main

import (
	"fmt"
	"time"
)

// Bounds of the site, in force for the scenarios.
const (
	contactTimeout  = 3 * time.Second
	evacuationBound = 5 * time.Second
	maxStretch      = 5 * time.Second
)

// evacuationAfterRestore plays a drill: the store goes away and comes back from a copy that is some seconds old. The
// operator writes the newest desired state again and, once all is calm, evacuates a zone.
func evacuationAfterRestore(c *cluster, trouble bool) (string, error) {
	stop := c.clients(false)
	defer stop()
	time.Sleep(2 * time.Second)
	copied := c.store.copyState()
	c.record.note("the copy is made at version %d", copied.version)
	newest := c.changeConfig(4)
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
	return c.judgeEvacuation(ackedAt, evacuationBound)
}

// evacuationSkippedAfterRestore plays the same drill. The operator orders the evacuation as soon as the store is back, and what
// the operator and the instances wrote is written again after that, so that the versions pass those of before the drill at once.
// A later desired state has a version that no node has seen.
func evacuationSkippedAfterRestore(c *cluster, trouble bool) (string, error) {
	stop := c.clients(false)
	defer stop()
	for _, i := range c.instances {
		c.store.put("servers", i.id(), []byte("{}"))
	}
	time.Sleep(2 * time.Second)
	copied := c.store.copyState()
	c.record.note("the copy is made at version %d", copied.version)
	newest := c.changeConfig(4)
	before := c.store.currentVersion()
	time.Sleep(time.Second)
	if trouble {
		c.store.goAway()
		c.record.note("the store is away")
		time.Sleep(time.Second)
		c.store.comeBack(&copied)
		c.record.note("the store is back from the copy, version %d", c.store.currentVersion())
	}
	version := c.store.put("op", "evacuate/"+zoneB, []byte("{}"))
	ackedAt := time.Now()
	c.putConfig(newest, 2.0+float64(newest)/10)
	for _, i := range c.instances {
		c.store.put("servers", i.id(), []byte("{}"))
	}
	c.record.note("operator: the store acknowledges the evacuation of %s with version %d; version %d before the drill, %d now", zoneB, version, before, c.store.currentVersion())
	time.Sleep(2 * time.Second)
	c.putConfig(newest+1, 2.0)
	return c.judgeEvacuation(ackedAt, contactTimeout+maxStretch+evacuationBound)
}

// changeConfig publishes desired states, two a second, and returns the number of the newest.
func (c *cluster) changeConfig(changes int) (newest int) {
	newest = 1
	for range changes {
		time.Sleep(500 * time.Millisecond)
		newest++
		c.putConfig(newest, 2.0+float64(newest)/10)
	}
	return newest
}

// judgeEvacuation counts the requests that reach the evacuated zone later than the bound after the acknowledgement.
func (c *cluster) judgeEvacuation(ackedAt time.Time, bound time.Duration) (string, error) {
	time.Sleep(bound + 10*time.Second)
	late := c.record.matching(func(a arrival) bool { return a.Zone == zoneB && a.At.After(ackedAt.Add(bound)) })
	others := c.record.matching(func(a arrival) bool { return a.Zone == zoneA && a.At.After(ackedAt.Add(bound)) })
	c.record.note("later than %v after the ack: %d requests reached %s, %d reached %s", bound, len(late), zoneB, len(others), zoneA)
	if len(others) == 0 && len(late) == 0 {
		return "", fmt.Errorf("no requests were served")
	}
	if len(late) > 0 {
		return fmt.Sprintf("EVAC: %d requests reached instances in %s", len(late), zoneB), nil
	}
	return "", nil
}
