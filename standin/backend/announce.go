package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"
)

// Announcement is the message with which a backend server registers at the node beside it.
type Announcement struct {
	Service     string
	Address     netip.AddrPort
	Incarnation uint64
	// Slots is the number of requests that the backend server runs at once.
	Slots int
	// Connections is the number of connections that the node may open to the backend server.
	Connections int
	Draining    bool
}

// announceInterval is the time between two announcements.
const announceInterval = 500 * time.Millisecond

// Announce sends the announcement to the node's control address every announceInterval until ctx
// ends. It ignores errors.
func Announce(ctx context.Context, client *http.Client, control netip.AddrPort, announcement Announcement) {
	for ctx.Err() == nil {
		Register(ctx, client, control, announcement)
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

// Register announces the backend server to the node once.
func Register(ctx context.Context, client *http.Client, control netip.AddrPort, announcement Announcement) {
	body, _ := json.Marshal(announcement)
	callNode(ctx, client, http.MethodPut, control, body)
}

// Deregister deregisters an incarnation of the backend server at the node, so that it gets no more requests. It reports
// whether the node acknowledged the deregistration.
func Deregister(client *http.Client, control netip.AddrPort, incarnation uint64) bool {
	body, _ := json.Marshal(struct{ Incarnation uint64 }{incarnation})
	return callNode(context.Background(), client, http.MethodDelete, control, body)
}

// callNode sends a request to the node's control address with a timeout of 1 s, and reports whether
// the node answered with status 204.
func callNode(ctx context.Context, client *http.Client, method string, control netip.AddrPort, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + control.String() + "/backend-server"
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}
