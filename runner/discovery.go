package runner

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
)

// discoveryInterval is the interval and the timeout of the health checks that a node which has just
// started sends to the backend server beside it.
const discoveryInterval = 100 * time.Millisecond

// discoverBackend sends health checks to find a backend server that started before the node, instead
// of waiting for its next announcement. It returns once a backend server is registered or ctx ends, and
// at once if backend servers do not report their load or the settings have no BackendAddress.
func (r *Runner) discoverBackend(ctx context.Context) {
	if !r.options.TellsLoad || !r.settings.BackendAddress.IsValid() {
		return
	}
	for ctx.Err() == nil && r.controller.View().Self.BackendServer == nil {
		if path := r.serviceConfiguration(r.settings.Service).HealthPath; path != "" && r.checkBackend(ctx, path) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(discoveryInterval):
		}
	}
}

// checkBackend makes one health check. It registers a healthy backend server that reports its ID and
// its slots, and reports whether it did.
func (r *Runner) checkBackend(ctx context.Context, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, discoveryInterval)
	defer cancel()
	health, err := r.executor.CheckHealth(ctx, r.settings.BackendAddress, path)
	if err != nil || !health.Healthy || health.ID == "" || !health.HasLoad || health.Load.Slots <= 0 {
		return false
	}
	if health.Notice.Leaving {
		return false
	}
	r.controller.Submit(controller.ConfirmLifetime{ID: health.ID})
	r.controller.Submit(controller.ApplyAnnouncement{Announcement: eelgrasspoint.Announcement{
		ID: health.ID, Cold: health.Cold,
		Backend: &eelgrasspoint.BackendServer{
			ID: health.ID, Service: r.settings.Service, Address: r.settings.BackendAddress,
			Slots: uint32(health.Load.Slots), Connections: r.maxConnections(r.settings.Service),
		},
	}})
	return true
}

const (
	// confirmTries is the number of health checks after an announcement that needs a confirmation, and confirmTimeout the
	// timeout of each.
	confirmTries   = 3
	confirmTimeout = 250 * time.Millisecond
)

// confirmation returns the function that starts confirm, or nil if backend servers do not tell enough in health checks.
func (r *Runner) confirmation() func(eelgrasspoint.Announcement) {
	if !r.options.TellsLoad {
		return nil
	}
	return func(a eelgrasspoint.Announcement) { go r.confirm(a) }
}

// confirm asks an announced backend server by health checks whether it leaves. A server of a service without health
// checks can't be asked and counts as confirmed.
func (r *Runner) confirm(a eelgrasspoint.Announcement) {
	path := r.serviceConfiguration(a.Backend.Service).HealthPath
	if path == "" {
		if !r.revision().IsZero() {
			r.controller.Submit(controller.ConfirmLifetime{ID: a.ID})
		}
		return
	}
	for range confirmTries {
		health, err := r.checkLifetime(a, path)
		switch {
		case err == nil && health.Notice.Leaving:
			r.controller.Submit(controller.LearnDepartures{Departures: []eelgrasspoint.Departure{
				{ID: a.ID, Incarnation: a.Incarnation, At: r.options.Clock()},
			}})
			return
		case err == nil && health.Healthy:
			r.controller.Submit(controller.ConfirmLifetime{ID: a.ID})
			return
		}
		time.Sleep(discoveryInterval)
	}
}

// checkLifetime makes a health check of an announced backend server. It returns an error if another one answers.
func (r *Runner) checkLifetime(a eelgrasspoint.Announcement, path string) (eelgrasspoint.Health, error) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	health, err := r.executor.CheckHealth(ctx, a.Backend.Address, path)
	if err == nil && health.ID != a.ID {
		err = trace.NotFound("backend server %q answers in place of %q", health.ID, a.ID)
	}
	return health, err
}
