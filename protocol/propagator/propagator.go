// Package propagator writes and reads the headers that carry request metadata between nodes.
package propagator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"eelgrasspoint"
)

// Metadata is the information about a request that one node passes to another.
type Metadata struct {
	RequestID   string
	Client      string
	Route       string
	Permitted   []string
	Depth       int
	Fingerprint uint64
	Remaining   time.Duration
	Attempt     int
	Insists     bool
	Caller      string
	Revision    uint64
	Service     string
	Weight      uint32
	Target      time.Duration
}

// nodeHeaders are spoken between nodes and taken off everything else.
var nodeHeaders = []string{
	eelgrasspoint.HeaderReason, eelgrasspoint.HeaderLoad, eelgrasspoint.HeaderRoute,
	eelgrasspoint.HeaderPermitted, eelgrasspoint.HeaderFingerprint, eelgrasspoint.HeaderAttempt,
	eelgrasspoint.HeaderServedBy, eelgrasspoint.HeaderOutcome, eelgrasspoint.HeaderFrom, eelgrasspoint.HeaderInsists,
	eelgrasspoint.HeaderCaller, eelgrasspoint.HeaderRevision, eelgrasspoint.HeaderService, eelgrasspoint.HeaderWeight,
	eelgrasspoint.HeaderTarget,
}

// Strip removes the headers that only nodes may set.
func Strip(header http.Header) {
	for _, name := range nodeHeaders {
		delete(header, name)
	}
}

// Write writes the metadata headers of a request.
func Write(header http.Header, meta *eelgrasspoint.RequestMetadata, now time.Time) {
	header[eelgrasspoint.HeaderRoute] = []string{meta.Route}
	header[eelgrasspoint.HeaderRequestID] = []string{meta.RequestID}
	header[eelgrasspoint.HeaderFingerprint] = []string{strconv.FormatUint(meta.Fingerprint, 16)}
	header[eelgrasspoint.HeaderAttempt] = []string{strconv.Itoa(meta.Attempt)}
	if meta.Caller != "" {
		header[eelgrasspoint.HeaderCaller] = []string{meta.Caller}
	}
	if meta.Revision != 0 {
		header[eelgrasspoint.HeaderRevision] = []string{strconv.FormatUint(meta.Revision, 10)}
	}
	header[eelgrasspoint.HeaderService] = []string{meta.Service}
	header[eelgrasspoint.HeaderWeight] = []string{strconv.FormatUint(uint64(meta.Weight), 10)}
	if meta.TargetLatency > 0 {
		header[eelgrasspoint.HeaderTarget] = []string{meta.TargetLatency.String()}
	}
	if meta.Insists {
		header[eelgrasspoint.HeaderInsists] = []string{"1"}
	}
	if meta.RegionBound() {
		header[eelgrasspoint.HeaderPermitted] = []string{strings.Join(meta.Permitted, ",")}
	}
	if meta.Client != "" {
		header[eelgrasspoint.HeaderClient] = []string{meta.Client}
	}
	WriteCall(header, meta, now)
}

// WriteCall puts on a request what a backend server passes on when it calls others.
func WriteCall(header http.Header, meta *eelgrasspoint.RequestMetadata, now time.Time) {
	header[eelgrasspoint.HeaderRequestID] = []string{meta.RequestID}
	header[eelgrasspoint.HeaderDepth] = []string{strconv.Itoa(meta.Depth)}
	header[eelgrasspoint.HeaderTimeout] = []string{eelgrasspoint.Remaining(meta.Deadline, now).String()}
}

// Read returns the metadata of a request from another node.
func Read(header http.Header) (Metadata, error) {
	label := Metadata{
		RequestID: header.Get(eelgrasspoint.HeaderRequestID),
		Client:    header.Get(eelgrasspoint.HeaderClient),
		Route:     header.Get(eelgrasspoint.HeaderRoute),
	}
	label.Insists = header.Get(eelgrasspoint.HeaderInsists) != ""
	label.Caller = header.Get(eelgrasspoint.HeaderCaller)
	label.Service = header.Get(eelgrasspoint.HeaderService)
	weight, err := strconv.ParseUint(header.Get(eelgrasspoint.HeaderWeight), 10, 32)
	if err != nil {
		return label, fmt.Errorf("%s: %w", eelgrasspoint.HeaderWeight, err)
	}
	label.Weight = uint32(weight)
	if text := header.Get(eelgrasspoint.HeaderTarget); text != "" {
		if label.Target, err = time.ParseDuration(text); err != nil {
			return label, fmt.Errorf("%s: %w", eelgrasspoint.HeaderTarget, err)
		}
	}
	if text := header.Get(eelgrasspoint.HeaderRevision); text != "" {
		if label.Revision, err = strconv.ParseUint(text, 10, 64); err != nil {
			return label, fmt.Errorf("%s: %w", eelgrasspoint.HeaderRevision, err)
		}
	}
	if label.Depth, err = strconv.Atoi(header.Get(eelgrasspoint.HeaderDepth)); err != nil {
		return label, fmt.Errorf("%s: %w", eelgrasspoint.HeaderDepth, err)
	}
	if label.Attempt, err = strconv.Atoi(header.Get(eelgrasspoint.HeaderAttempt)); err != nil {
		return label, fmt.Errorf("%s: %w", eelgrasspoint.HeaderAttempt, err)
	}
	if label.Fingerprint, err = strconv.ParseUint(header.Get(eelgrasspoint.HeaderFingerprint), 16, 64); err != nil {
		return label, fmt.Errorf("%s: %w", eelgrasspoint.HeaderFingerprint, err)
	}
	if label.Remaining, err = time.ParseDuration(header.Get(eelgrasspoint.HeaderTimeout)); err != nil {
		return label, fmt.Errorf("%s: %w", eelgrasspoint.HeaderTimeout, err)
	}
	if permitted := header.Get(eelgrasspoint.HeaderPermitted); permitted != "" {
		label.Permitted = strings.Split(permitted, ",")
	}
	return label, nil
}

// slownessUnit is how the slowness of a backend server is written, in parts of the usual.
const slownessUnit = 100

// WriteLoad puts a load hint on an answer and returns its bytes.
func WriteLoad(header http.Header, load eelgrasspoint.Load) int {
	b := make([]byte, 0, 16)
	b = strconv.AppendUint(b, uint64(load.InUse), 10)
	b = append(b, '/')
	b = strconv.AppendUint(b, uint64(load.Limit), 10)
	b = append(b, '/')
	b = strconv.AppendUint(b, uint64(load.Queued), 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, load.Expected.Milliseconds(), 10)
	if load.Slowness > 0 {
		b = append(b, '/')
		b = strconv.AppendInt(b, int64(load.Slowness*slownessUnit), 10)
	}
	header[eelgrasspoint.HeaderLoad] = []string{string(b)}
	return len(eelgrasspoint.HeaderLoad) + len(b)
}

// ReadLoad returns the load hint of an answer and whether there was one.
func ReadLoad(header http.Header) (eelgrasspoint.Load, bool) {
	parts := strings.Split(header.Get(eelgrasspoint.HeaderLoad), "/")
	if len(parts) != 4 && len(parts) != 5 {
		return eelgrasspoint.Load{}, false
	}
	var numbers [5]uint32
	for i, part := range parts {
		n, err := strconv.ParseUint(part, 10, 32)
		if err != nil {
			return eelgrasspoint.Load{}, false
		}
		numbers[i] = uint32(n)
	}
	return eelgrasspoint.Load{
		InUse: numbers[0], Limit: numbers[1], Queued: numbers[2],
		Expected: time.Duration(numbers[3]) * time.Millisecond,
		Slowness: float64(numbers[4]) / slownessUnit,
	}, true
}
