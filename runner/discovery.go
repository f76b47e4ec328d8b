package runner

import (
	"context"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
)

// greetInterval is how often a node that has just started asks the backend server beside it.
const greetInterval = 100 * time.Millisecond

// greet asks a backend server that was running before the node whether it takes work, since it
// will announce itself only after a while.
func (r *Runner) greet(ctx context.Context) {
	if !r.options.TellsLoad || !r.settings.BackendAddress.IsValid() {
		return
	}
	for ctx.Err() == nil && r.controller.View().Self.BackendServer == nil {
		if path := r.definition(r.settings.Service).HealthPath; path != "" && r.greetOnce(ctx, path) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(greetInterval):
		}
	}
}

func (r *Runner) greetOnce(ctx context.Context, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, greetInterval)
	defer cancel()
	health, err := r.executor.CheckHealth(ctx, r.settings.BackendAddress, path)
	if err != nil || !health.Healthy || health.ID == "" || !health.HasLoad || health.Load.Slots <= 0 {
		return false
	}
	r.controller.Submit(controller.UpdateBackend{Announcement: eelgrasspoint.Announcement{
		ID: health.ID, Cold: health.Cold,
		Backend: &eelgrasspoint.BackendServer{
			ID: health.ID, Service: r.settings.Service, Address: r.settings.BackendAddress,
			Slots: uint32(health.Load.Slots), Connections: r.connections(r.settings.Service),
		},
	}})
	return true
}
