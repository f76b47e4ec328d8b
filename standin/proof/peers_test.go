package proof

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/network"
	"eelgrasspoint/standin/simulator"
	"eelgrasspoint/transport/dispatcher"
	"eelgrasspoint/transport/receiver"
)

// slowLink is the link of a small VM: 10 Mbit/s.
var slowLink = network.Conditions{
	SameZone: 100 * time.Microsecond, SameRegion: time.Millisecond, OtherRegion: 20 * time.Millisecond,
	LinkBytesPerSecond: 10_000_000 / 8,
}

// TestUploadsOnSlowLinkDoNotBreakOffBooking: the ping of the booking's connection waits behind uploads.
func TestUploadsOnSlowLinkDoNotBreakOffBooking(t *testing.T) {
	for _, stopping := range []bool{false, true} {
		t.Run(fmt.Sprintf("stopping=%v", stopping), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := simulator.New(simulator.Options{Shape: slowLink, StoreRegion: "almaty"})
				defer s.Close()
				p := &pair{Simulator: s}
				p.entry = s.AddNode("almaty", "almaty-a", "vitrine", 4, backend.Behavior{})
				p.exit = s.AddNode("astana", "astana-a", "bench", 4, backend.Behavior{ServiceTime: 3 * time.Second})
				for range 3 {
					s.AddNode("astana", "astana-b", "ledger", 8, backend.Behavior{ServiceTime: 200 * time.Millisecond})
				}
				time.Sleep(3 * time.Second)
				s.ApplyDocument(t.Context(), p.entry, simulator.ExampleDocument())
				time.Sleep(2 * time.Second)
				p.client = s.HTTPClient()
				defer p.client.CloseIdleConnections()
				var others sync.WaitGroup
				defer others.Wait()
				others.Go(func() {
					time.Sleep(100 * time.Millisecond)
					for range 8 {
						others.Go(func() { p.upload(t, 360<<10) })
					}
					if stopping {
						time.Sleep(100 * time.Millisecond)
						p.entry.StopNode()
					}
				})
				got := p.sendBooking("b", http.Header{eelgrasspoint.HeaderClient: {"museum-astana"}})
				assert.Equal(t, got.outcome, "Answered", "%+v", got)
				assert.Equal(t, p.exit.Backend.Runs()["b"], 1)
			})
		})
	}
}

// upload sends a payment with a long body to the region astana, and checks that the answer is whole.
func (p *pair) upload(t *testing.T, bodyBytes int64) {
	request, _ := http.NewRequest(http.MethodPost, p.entry.URL("/payments"), bytes.NewReader(make([]byte, bodyBytes)))
	request.Header.Set(eelgrasspoint.HeaderClient, "museum-astana")
	response, err := p.client.Do(request)
	if !assert.Check(t, err) {
		return
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	assert.Check(t, err)
	assert.Check(t, n == bodyBytes, "%s, %d bytes", response.Status, n)
}

// TestRequestsLeaveSilentConnection guards against requests sent or kept for long on a silent connection.
func TestRequestsLeaveSilentConnection(t *testing.T) {
	withPair(t, backend.Behavior{ServiceTime: 5 * time.Millisecond}, func(t *testing.T, p *pair) {
		assert.Equal(t, p.sendBooking("warm", nil).outcome, "Answered")
		p.Network.Blackhole(p.exit.Host)
		defer p.Network.Restore(p.exit.Host)
		var first callResult
		var waiting sync.WaitGroup
		waiting.Go(func() { first = p.sendBooking("first", nil) })
		time.Sleep(eelgrasspoint.PeerSilentAfter + 10*time.Millisecond)
		later := p.sendBooking("later", nil)
		assert.Equal(t, later.outcome, "NotRun", "%+v", later)
		assert.Assert(t, later.took < 500*time.Millisecond, "%v", later.took)
		waiting.Wait()
		assert.Equal(t, first.outcome, "MayHaveRun", "%+v", first)
		assert.Assert(t, first.took < eelgrasspoint.PeerSilenceLimit+500*time.Millisecond, "%v", first.took)
	})
}

// TestPageLeavesSilentConnection guards against a page that waits while another exit node could answer it.
func TestPageLeavesSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := simulator.New(simulator.Options{Shape: unlimitedNetwork, StoreRegion: "almaty"})
		defer s.Close()
		p := &pair{Simulator: s}
		p.entry = s.AddNode("almaty", "almaty-a", "bench", 4, backend.Behavior{})
		for range 2 {
			s.AddNode("almaty", "almaty-b", "vitrine", 8, backend.Behavior{ServiceTime: 100 * time.Millisecond})
		}
		time.Sleep(3 * time.Second)
		s.ApplyDocument(t.Context(), p.entry, simulator.ExampleDocument())
		time.Sleep(time.Second)
		p.client = s.HTTPClient()
		defer p.client.CloseIdleConnections()
		var pages sync.WaitGroup
		for i := range 4 {
			pages.Go(func() {
				got := p.send(p.entry, http.MethodGet, fmt.Sprint("/catalogue/", i), "", nil)
				assert.Check(t, got.status == http.StatusOK, "%+v", got)
			})
		}
		time.Sleep(50 * time.Millisecond)
		s.Network.Blackhole(s.Nodes[1].Host)
		pages.Wait()
	})
}

// TestBytesBeforePingDoNotBreakOffAttempts: a new connection has no bytes before its ping, but is no proof.
func TestBytesBeforePingDoNotBreakOffAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const attempts, bodyBytes, bytesPerSecond = 16, eelgrasspoint.MaxBodyBytesWithoutContinue, 100_000
		exitNode := netip.MustParseAddrPort("10.0.0.2:7001")
		simulated := network.New(unlimitedNetwork)
		listener, err := simulated.Listen("tcp", exitNode.String())
		assert.NilError(t, err)
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		server := &http.Server{Protocols: protocols, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if receiver.IsAttempt(r) {
				time.Sleep(3500 * time.Millisecond)
			}
			w.Header().Set(eelgrasspoint.HeaderOutcome, eelgrasspoint.Answered.String())
		})}
		go func() { _ = server.Serve(listener) }()
		defer time.Sleep(network.ConnectTimeout)
		defer server.Close()
		dial := simulated.Dial(netip.MustParseAddr("10.0.0.1"))
		d := dispatcher.New(func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &slowConn{Conn: conn, bytesPerSecond: bytesPerSecond}, nil
		}, "almaty", time.Now)
		defer d.Close()
		var sent sync.WaitGroup
		for range attempts {
			sent.Go(func() {
				_, err := d.RoundTrip(t.Context(), &eelgrasspoint.Candidate{PeerAddress: exitNode}, &eelgrasspoint.Attempt{
					Meta:   eelgrasspoint.RequestMetadata{Route: "r", RequestID: "1", Deadline: time.Now().Add(6 * time.Second)},
					Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{},
					Body: io.NopCloser(bytes.NewReader(make([]byte, bodyBytes))), Length: bodyBytes,
				})
				assert.Check(t, err)
			})
		}
		sent.Wait()
	})
}

// slowConn sends its bytes at a limited rate from an unlimited buffer.
type slowConn struct {
	net.Conn
	bytesPerSecond int

	mu     sync.Mutex
	freeAt time.Time
}

// Write implements net.Conn.
func (c *slowConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); c.freeAt.Before(now) {
		c.freeAt = now
	}
	c.freeAt = c.freeAt.Add(time.Duration(len(p)) * time.Second / time.Duration(c.bytesPerSecond))
	data := bytes.Clone(p)
	time.AfterFunc(time.Until(c.freeAt), func() { _, _ = c.Conn.Write(data) })
	return len(p), nil
}

// TestManyShortHeadersReachExitNode: HTTP/2 counts 32 bytes more for each header than the entry node does.
func TestManyShortHeadersReachExitNode(t *testing.T) {
	header := make(http.Header)
	for i := range 9000 {
		header[fmt.Sprintf("%x", i)] = []string{""}
	}
	withPair(t, backend.Behavior{ServiceTime: 2 * time.Second}, func(t *testing.T, p *pair) {
		var other callResult
		var waiting sync.WaitGroup
		waiting.Go(func() { other = p.sendBooking("other", nil) })
		got := p.sendBooking("b", header)
		waiting.Wait()
		assert.Check(t, got.outcome == "Answered", "%+v", got)
		assert.Check(t, other.outcome == "Answered", "%+v", other)
	})
}
