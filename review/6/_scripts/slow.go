package main

import "time"

const (
	// slowCount of the slowLedgers take slowFactor times as long for slowSpan at a time.
	slowLedgers = 5
	slowCount   = 2
	slowFactor  = 12
	slowSpan    = 9 * time.Second
	usualSpan   = 2 * time.Second
	slowSpans   = 3
)

// playSlow lets uploads go to instances of which some are slow for a time, so that their answers take over a second.
func playSlow(p *play) (bool, error) {
	callers, ledgers, err := p.startUploads(slowLedgers)
	if err != nil {
		return false, err
	}
	for range slowSpans {
		p.setSlowness(ledgers[:slowCount], slowFactor)
		callers.upload(slowSpan)
		p.setSlowness(ledgers[:slowCount], 1)
		callers.upload(usualSpan)
	}
	return p.checkMixed(callers.wait(), ledgers), nil
}

func (p *play) setSlowness(instances []*earlyInstance, factor time.Duration) {
	if !p.trouble {
		return
	}
	for _, e := range instances {
		e.mu.Lock()
		e.slowness = factor
		e.mu.Unlock()
	}
	p.note("%d instances work %d times as long", len(instances), factor)
}
