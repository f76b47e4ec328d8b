// Package reporter tells the exit nodes of a service about a crash.
package reporter

import (
	"context"
	"net/http"
	"slices"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/coordination/executor"
	"eelgrasspoint/protocol/schema"
)

// Reporter sends each crash to the members that may serve the requests which were in flight.
type Reporter struct {
	controller *controller.Controller
	client     *http.Client
}

// reportTimeout bounds the report to one node.
const reportTimeout = 500 * time.Millisecond

// New returns a reporter.
func New(controller *controller.Controller, client *http.Client) *Reporter {
	return &Reporter{controller: controller, client: client}
}

// Report tells all others at once. What is bound to home regions goes to no other region.
func (r *Reporter) Report(crash executor.Crash) {
	view := r.controller.View()
	for _, m := range view.Members {
		if m.Name == view.Self.Name || !serves(m, crash.Service) {
			continue
		}
		fingerprints := permitted(crash, m.Region)
		if len(fingerprints) == 0 {
			continue
		}
		go r.send(m, &schema.CrashedRequest{
			Crash: crash.Name, Service: crash.Service, Fingerprints: fingerprints,
		})
	}
}

func (r *Reporter) send(m eelgrasspoint.Member, request *schema.CrashedRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	client := schema.NewExchangeProtobufClient("http://"+m.PeerAddress.String(), r.client)
	_, _ = client.Crashed(ctx, request)
}

func serves(m eelgrasspoint.Member, service string) bool {
	return m.Alive() && m.BackendServer != nil && m.BackendServer.Service == service
}

func permitted(crash executor.Crash, region string) []uint64 {
	var list []uint64
	for _, s := range crash.Fingerprints {
		if len(s.Permitted) == 0 || slices.Contains(s.Permitted, region) {
			list = append(list, s.Fingerprint)
		}
	}
	return list
}
