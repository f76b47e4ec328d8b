package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"
)

// Announcement is what a backend server says of itself to the node beside it.
type Announcement struct {
	Service     string
	Address     netip.AddrPort
	Incarnation uint64
	Slots       int
	Connections int
	Draining    bool
}

// announceInterval is the time between two announcements.
const announceInterval = 500 * time.Millisecond

// Announce tells the node until the context ends.
func Announce(ctx context.Context, client *http.Client, control netip.AddrPort, a Announcement) {
	for ctx.Err() == nil {
		body, _ := json.Marshal(a)
		call(ctx, client, http.MethodPut, control, body)
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

// Leave tells the node that the backend server takes no more work, and reports whether it took it in.
func Leave(client *http.Client, control netip.AddrPort) bool {
	return call(context.Background(), client, http.MethodDelete, control, nil)
}

func call(ctx context.Context, client *http.Client, method string, control netip.AddrPort, body []byte) bool {
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
