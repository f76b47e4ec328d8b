package observer

import (
	"context"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
)

// minQuarantineInterval is the least time between two exchanges of quarantines with a member after heartbeats.
const minQuarantineInterval = 2 * time.Second

// compareQuarantines exchanges the quarantines with a member if its answer to a heartbeat shows that it knows others. Crash
// reports are sent once; a node that missed one learns its outcome so.
func (o *Observer) compareQuarantines(ctx context.Context, view *eelgrasspoint.MembershipView, m eelgrasspoint.Member, response *schema.ConverseResponse) {
	if response.GetQuarantineDigest() == o.options.Quarantiner.Digest(view.Self.Region, m.Region) || !o.quarantinesDue(m.Name) {
		return
	}
	o.exchangeQuarantines(ctx, m)
}

// exchangeQuarantines tells a member the quarantines that its region may receive, and learns those that it returns.
func (o *Observer) exchangeQuarantines(ctx context.Context, m eelgrasspoint.Member) {
	o.options.Meter.CountExchange("Quarantines")
	now := o.options.Clock()
	request := &schema.QuarantinesRequest{
		Region:      o.options.Controller.View().Self.Region,
		Quarantines: translator.QuarantineMessages(o.options.Quarantiner.Quarantines(m.Region), now),
	}
	response, err := o.client(m).Quarantines(ctx, request)
	if err != nil {
		// The member has an earlier version of the program, or is gone; the next heartbeat shows.
		return
	}
	o.options.Quarantiner.Clear(response.GetDisproved())
	disproved := o.options.Quarantiner.Learn(translator.Quarantines(response.GetQuarantines(), now))
	if len(disproved) > 0 {
		_, _ = o.client(m).Quarantines(ctx, &schema.QuarantinesRequest{Region: request.GetRegion(), Disproved: disproved})
	}
}

// quarantinesDue reports whether the last exchange of quarantines with the member is at least minQuarantineInterval ago, and
// begins the interval anew if it is.
func (o *Observer) quarantinesDue(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.peerState(name)
	now := o.options.Clock()
	if now.Sub(p.quarantinesAt) < minQuarantineInterval {
		return false
	}
	p.quarantinesAt = now
	return true
}
