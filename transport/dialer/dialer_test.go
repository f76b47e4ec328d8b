package dialer_test

import (
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint/transport/dialer"
)

// connect returns both ends of a connection, the first one opened by a Dialer.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	client, err = dialer.New((&net.Dialer{}).DialContext).DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	server, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	return client, server
}

// TestWriteAfterUnsolicitedBytes guards against a request on a connection on which bytes have arrived that
// belong to no request, and against counting it as written.
func TestWriteAfterUnsolicitedBytes(t *testing.T) {
	client, server := connect(t)
	read := make(chan struct{})
	go func() {
		_, _ = client.Read(make([]byte, 10))
		close(read)
	}()
	dialer.BeginRequest(client)
	_, err := server.Write([]byte("x"))
	assert.NilError(t, err)
	<-read
	_, err = client.Write([]byte("request"))
	assert.Assert(t, errors.Is(err, dialer.ErrUnusable), "%v", err)
	passed, _ := dialer.BytesPassedToWrite(client)
	assert.Equal(t, passed, int64(0))
	assert.Assert(t, !dialer.Broken(client))
}

// TestBeginRequestEndsWithTheConnection guards against a request that waits without end for the reader of a
// connection that has ended.
func TestBeginRequestEndsWithTheConnection(t *testing.T) {
	for name, end := range map[string]func(client, server net.Conn){
		"closed on this side": func(client, _ net.Conn) { _ = client.Close() },
		"closed by the other side": func(client, server net.Conn) {
			_ = server.Close()
			_, _ = client.Read(make([]byte, 10))
		},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := connect(t)
			began := make(chan struct{})
			go func() {
				dialer.BeginRequest(client)
				close(began)
			}()
			end(client, server)
			select {
			case <-began:
			case <-time.After(5 * time.Second):
				t.Fatal("BeginRequest still waits")
			}
			_, err := client.Write([]byte("request"))
			assert.Assert(t, errors.Is(err, dialer.ErrUnusable), "%v", err)
		})
	}
}
