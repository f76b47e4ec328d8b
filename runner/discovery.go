package runner

import (
	"context"
	"time"

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
	r.controller.Submit(controller.ApplyAnnouncement{Announcement: eelgrasspoint.Announcement{
		ID: health.ID, Cold: health.Cold,
		Backend: &eelgrasspoint.BackendServer{
			ID: health.ID, Service: r.settings.Service, Address: r.settings.BackendAddress,
			Slots: uint32(health.Load.Slots), Connections: r.maxConnections(r.settings.Service),
		},
	}})
	return true
}
