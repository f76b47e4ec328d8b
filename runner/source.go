package runner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/state/publisher"
)

// Pauses between tries to reach the source of the configuration.
const (
	minSourceRetry = 200 * time.Millisecond
	maxSourceRetry = time.Second
)

// polledSource reads the row that operators change by calls. News from peers is faster; the
// pause between two reads bounds what is missed where it did not arrive.
type polledSource struct {
	publisher *publisher.Publisher
	sleep     func(ctx context.Context, interval time.Duration)
	read      bool
}

// Next implements eelgrasspoint.Source.
func (s *polledSource) Next(ctx context.Context) (eelgrasspoint.Configuration, error) {
	if s.read {
		s.sleep(ctx, eelgrasspoint.PollInterval)
	}
	published, err := s.publisher.Read(ctx)
	s.read = s.read || err == nil
	return published.Configuration, err
}

// follow puts each published configuration in force.
func (r *Runner) follow(ctx context.Context) {
	pause := minSourceRetry
	for ctx.Err() == nil {
		configuration, err := r.source.Next(ctx)
		var invalid *eelgrasspoint.InvalidError
		switch {
		case errors.As(err, &invalid):
			r.record(eelgrasspoint.EventBadInput, "configuration: "+invalid.Error())
		case err != nil:
			r.storeDown(ctx, err)
			r.sleep(ctx, pause)
			pause = min(2*pause, maxSourceRetry)
			continue
		}
		pause = minSourceRetry
		r.storeBack()
		if configuration.Revision > r.revision() {
			r.controller.Submit(controller.ReplaceConfiguration{Configuration: configuration})
			r.controller.WaitApplied()
		}
	}
}

// announcements takes what the backend server says; its answer is given once that is in force.
func (r *Runner) announcements() http.Handler {
	if r.options.Announcements == nil {
		return http.NotFoundHandler()
	}
	return r.options.Announcements(func(a eelgrasspoint.Announcement) {
		if a.Backend != nil {
			a.Backend.Connections = r.connections(a.Backend.Service)
		}
		r.controller.Submit(controller.UpdateBackend{Announcement: a})
		r.controller.WaitApplied()
	}, r.recorder)
}

// connections returns how many connections a backend server of the service accepts.
func (r *Runner) connections(service string) uint32 {
	if connections := r.definition(service).Connections; connections > 0 {
		return connections
	}
	return eelgrasspoint.DefaultConnections
}

// definition returns what is configured of a service.
func (r *Runner) definition(service string) eelgrasspoint.Service {
	return r.holder.Load().Configuration.Document.Service(service)
}

func (r *Runner) readiness() http.Handler {
	if r.options.Readiness == nil {
		return http.NotFoundHandler()
	}
	return r.options.Readiness(r.ready)
}

// ready reports whether the node takes callers.
func (r *Runner) ready() bool {
	ready := !r.stopping.Load() && r.revision() > 0
	if r.wasReady.Swap(ready) != ready {
		r.record(eelgrasspoint.EventReadinessChanged, fmt.Sprintf("ready: %v, stopping: %v, revision %d", ready, r.stopping.Load(), r.revision()))
	}
	return ready
}
