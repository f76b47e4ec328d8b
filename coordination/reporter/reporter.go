// Package reporter reports the crash of a backend server to the other exit nodes of its service.
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
	"eelgrasspoint/protocol/translator"
)

// Reporter sends crash reports to the members that may serve the requests that were in flight at the crash.
type Reporter struct {
	controller *controller.Controller
	client     *http.Client
}

// reportTimeout bounds the call that reports a crash to one member.
const reportTimeout = 500 * time.Millisecond

// New returns a reporter.
func New(controller *controller.Controller, client *http.Client) *Reporter {
	return &Reporter{controller: controller, client: client}
}

// Report sends the fingerprints of a crash concurrently to all other live members with a backend server of
// the service and does not wait for the calls. A fingerprint bound to home regions is sent only to members
// in these regions. A failed call is not repeated.
func (r *Reporter) Report(crash executor.Crash) {
	view := r.controller.View()
	for _, m := range view.Members {
		if m.Name == view.Self.Name || !serves(m, crash.Service) {
			continue
		}
		if report := reportFor(crash, m.Region); len(report.GetSuspects()) > 0 {
			go r.send(m, report)
		}
	}
}

func (r *Reporter) send(m eelgrasspoint.Member, request *schema.CrashedRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	client := schema.NewExchangeProtobufClient("http://"+m.PeerAddress.String(), r.client)
	// A member that does not receive the report does not count this crash.
	_, _ = client.Crashed(ctx, request)
}

func serves(m eelgrasspoint.Member, service string) bool {
	return m.Alive() && m.BackendServer != nil && m.BackendServer.Service == service
}

// reportFor returns the report of a crash to a member in a region, with the requests that are permitted there.
func reportFor(crash executor.Crash, region string) *schema.CrashedRequest {
	report := &schema.CrashedRequest{Crash: crash.Name, Service: crash.Service}
	for _, request := range crash.Requests {
		if len(request.Permitted) > 0 && !slices.Contains(request.Permitted, region) {
			continue
		}
		report.Suspects = append(report.Suspects, translator.CrashSuspectMessage(request))
		if request.BodyKnown {
			report.Fingerprints = append(report.Fingerprints, request.Fingerprint)
		}
	}
	return report
}
