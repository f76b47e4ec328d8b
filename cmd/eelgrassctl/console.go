package main

import (
	"context"
	_ "embed"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/kataras/iris/v12"

	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
)

//go:embed console.html
var consolePage []byte

// maxConsoleEvents bounds the events in the timeline of the page; its table has the latest 40 of them.
const maxConsoleEvents = 500

// shutdownTimeout bounds the shutdown of the console's HTTP server.
const shutdownTimeout = 2 * time.Second

// console serves the page until SIGINT or SIGTERM.
func (s *session) console(ctx context.Context) int {
	app := iris.New()
	app.Logger().SetLevel("error")
	app.Get("/", func(c iris.Context) {
		c.ContentType("text/html; charset=utf-8")
		_, _ = c.Write(consolePage)
	})
	app.Get("/state", s.serveState)
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	go func() {
		<-ctx.Done()
		shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = app.Shutdown(shutdown)
	}()
	s.printLine("console at http://%v; press Ctrl-C to stop", s.options.listen)
	err := app.Listen(s.options.listen.String(), iris.WithoutStartupLog, iris.WithoutInterruptHandler)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return s.fail(err)
	}
	return exitOK
}

// serveState responds with the node's current status and the events of all nodes as JSON.
func (s *session) serveState(c iris.Context) {
	ctx := c.Request().Context()
	status, err := s.client.Status(ctx, &schema.StatusRequest{})
	if err != nil {
		c.StatusCode(http.StatusBadGateway)
		_, _ = c.WriteString(err.Error())
		return
	}
	events, err := s.client.Timeline(ctx, &schema.TimelineRequest{Everywhere: true, MaxEvents: maxConsoleEvents})
	if err != nil {
		c.StatusCode(http.StatusBadGateway)
		_, _ = c.WriteString(err.Error())
		return
	}
	_ = c.JSON(newPageState(status, events))
}

// pageState is the JSON body of /state.
type pageState struct {
	Node        string
	Revision    string
	Zones       []pageZone
	Nodes       []pageNode
	Events      []pageEvent
	Unreachable []string
}

type pageZone struct {
	Name, Region string
	OutOfService bool
}

type pageNode struct {
	Name, Region, Zone, State, Service, Address string
	Slots, InUse, Limit, Queued                 uint32
}

type pageEvent struct {
	// At is in milliseconds since 1970.
	At                 float64
	Node, Name, Detail string
}

func newPageState(status *schema.StatusResponse, timeline *schema.TimelineResponse) pageState {
	page := pageState{Node: status.GetNode(), Revision: translator.Revision(status.GetRevision(), status.GetLargeRevision()).String(), Unreachable: timeline.GetUnreachable()}
	for _, z := range status.GetAvailabilityZones() {
		page.Zones = append(page.Zones, pageZone{Name: z.GetName(), Region: z.GetRegion(), OutOfService: z.GetOutOfService()})
	}
	for _, n := range status.GetNodes() {
		m, b, load := n.GetMember(), n.GetMember().GetBackendServer(), n.GetLoad()
		page.Nodes = append(page.Nodes, pageNode{
			Name: m.GetName(), Region: m.GetRegion(), Zone: m.GetAvailabilityZone(), State: nodeState(n),
			Service: b.GetService(), Address: b.GetAddress(), Slots: b.GetSlots(),
			InUse: load.GetInUse(), Limit: load.GetLimit(), Queued: load.GetQueued(),
		})
	}
	for _, e := range timeline.GetEvents() {
		page.Events = append(page.Events, pageEvent{
			At: float64(e.GetWall()) / 1e6, Node: e.GetNode(), Name: e.GetName(), Detail: e.GetDetail(),
		})
	}
	return page
}
