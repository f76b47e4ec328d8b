package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"eelgrasspoint/protocol/schema"
)

// callTimeout bounds one call to the node. If the response to a write of the table service is lost, a
// commit takes up to eelgrasspoint.CommitRetryTimeout (5 s) longer, in which the node finds out the result.
const callTimeout = 20 * time.Second

// session runs one verb.
type session struct {
	options *options
	out     io.Writer
	errors  io.Writer
	client  schema.Operators
	// connected is set once a connection to the node was opened. From then on a failed call may have
	// reached the node.
	connected bool
}

func newSession(o *options, out, errors io.Writer) *session {
	s := &session{options: o, out: out, errors: errors}
	// The timeout for opening a connection is part of callTimeout.
	dialer := &net.Dialer{Timeout: 3 * time.Second}
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		s.connected = s.connected || err == nil
		return conn, err
	}}
	s.client = schema.NewOperatorsProtobufClient("http://"+o.node.String(), &http.Client{Transport: transport, Timeout: callTimeout})
	return s
}

func (s *session) run() int {
	actions := map[string]func(context.Context) int{
		"apply": s.apply, "remove": s.remove, "get": s.get, "diff": s.diff, "validate": s.validate,
		"zone": s.zone, "status": s.status, "rollout": s.rollout, "timeline": s.timeline,
		"drain": s.drain, "console": s.console, "explain": s.explain,
	}
	return actions[s.options.verb](context.Background())
}

func (s *session) json() bool { return s.options.output == "json" }

// printMessage writes a message as JSON.
func (s *session) printMessage(message proto.Message) int {
	data, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitDefaultValues: true}.Marshal(message)
	if err != nil {
		return s.fail(err)
	}
	fmt.Fprintln(s.out, string(data))
	return exitOK
}

// printValue writes a Go value as JSON.
func (s *session) printValue(value any) int {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return s.fail(err)
	}
	return exitOK
}

// printTable writes rows in aligned columns.
func (s *session) printTable(rows [][]string) {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for _, cell := range row {
			fmt.Fprint(w, cell, "\t")
		}
		fmt.Fprintln(w)
	}
	w.Flush()
}

func (s *session) fail(err error) int {
	fmt.Fprintln(s.errors, "eelgrassctl:", err)
	return exitFailed
}
