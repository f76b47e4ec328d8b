// Package propagator writes and reads the headers that carry request metadata and load hints between nodes,
// and writes the headers of calls to backend servers.
package propagator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"eelgrasspoint"
)

// Metadata is the metadata of a request as read from the headers of another node.
type Metadata struct {
	RequestID   string
	Client      string
	Route       string
	Permitted   []string
	Depth       int
	Fingerprint uint64
	// BodyOpen is that of RequestMetadata.
	BodyOpen bool
	// Remaining is the time left before the deadline.
	Remaining time.Duration
	Attempt   int
	// Insists asks the exit node to queue the request rather than to refuse it.
	Insists  bool
	Caller   string
	Revision eelgrasspoint.Revision
	Service  string
	Weight   uint32
	// Target is the TargetLatency of RequestMetadata.
	Target time.Duration
}

// nodeHeaders are the headers that only nodes may set.
var nodeHeaders = []string{
	eelgrasspoint.HeaderReason, eelgrasspoint.HeaderLoad, eelgrasspoint.HeaderRoute,
	eelgrasspoint.HeaderPermitted, eelgrasspoint.HeaderFingerprint, eelgrasspoint.HeaderBodyOpen, eelgrasspoint.HeaderAttempt,
	eelgrasspoint.HeaderServedBy, eelgrasspoint.HeaderOutcome, eelgrasspoint.HeaderEntryRegion, eelgrasspoint.HeaderInsists,
	eelgrasspoint.HeaderCaller, eelgrasspoint.HeaderRevision, eelgrasspoint.HeaderService, eelgrasspoint.HeaderWeight,
	eelgrasspoint.HeaderTargetLatency, eelgrasspoint.HeaderWithdraw,
}

// Strip removes the headers that only nodes may set. It is applied to the requests and answers that are
// exchanged with callers and backend servers, and to those between nodes after their headers have been read.
func Strip(header http.Header) {
	for _, name := range nodeHeaders {
		delete(header, name)
	}
}

// Write sets the metadata headers of a request to another node.
func Write(header http.Header, meta *eelgrasspoint.RequestMetadata, now time.Time) {
	header[eelgrasspoint.HeaderRoute] = []string{meta.Route}
	header[eelgrasspoint.HeaderRequestID] = []string{meta.RequestID}
	header[eelgrasspoint.HeaderFingerprint] = []string{strconv.FormatUint(meta.Fingerprint, 16)}
	if meta.BodyOpen {
		header[eelgrasspoint.HeaderBodyOpen] = []string{"1"}
	}
	header[eelgrasspoint.HeaderAttempt] = []string{strconv.Itoa(meta.Attempt)}
	if meta.Caller != "" {
		header[eelgrasspoint.HeaderCaller] = []string{meta.Caller}
	}
	if !meta.Revision.IsZero() {
		header[eelgrasspoint.HeaderRevision] = []string{eelgrasspoint.FormatRevision(meta.Revision)}
	}
	header[eelgrasspoint.HeaderService] = []string{meta.Service}
	header[eelgrasspoint.HeaderWeight] = []string{strconv.FormatUint(uint64(meta.Weight), 10)}
	if meta.TargetLatency > 0 {
		header[eelgrasspoint.HeaderTargetLatency] = []string{meta.TargetLatency.String()}
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

// WriteKey sets the headers by which Key recognizes an attempt.
func WriteKey(header http.Header, meta *eelgrasspoint.RequestMetadata) {
	header[eelgrasspoint.HeaderRequestID] = []string{meta.RequestID}
	header[eelgrasspoint.HeaderFingerprint] = []string{strconv.FormatUint(meta.Fingerprint, 16)}
	header[eelgrasspoint.HeaderAttempt] = []string{strconv.Itoa(meta.Attempt)}
}

// Key returns the key of an attempt, or of a withdrawal that names it. Two attempts have the same one only if their
// callers sent the same request with the same identifier to two entry nodes. A key is at most maxKeyBytes long.
func Key(header http.Header) string {
	key := header.Get(eelgrasspoint.HeaderRequestID) + "/" + header.Get(eelgrasspoint.HeaderFingerprint) + "/" + header.Get(eelgrasspoint.HeaderAttempt)
	if len(key) <= maxKeyBytes {
		return key
	}
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// maxKeyBytes is the length from which a key is a digest, since the identifier in it is the caller's.
const maxKeyBytes = 2 * eelgrasspoint.MaxRequestIDBytes

// WriteCall sets the headers that a backend server copies to its own calls: request ID, depth and the
// time left before the deadline.
func WriteCall(header http.Header, meta *eelgrasspoint.RequestMetadata, now time.Time) {
	header[eelgrasspoint.HeaderRequestID] = []string{meta.RequestID}
	header[eelgrasspoint.HeaderDepth] = []string{strconv.Itoa(meta.Depth)}
	header[eelgrasspoint.HeaderTimeout] = []string{eelgrasspoint.Remaining(meta.Deadline, now).String()}
}

// Read reads the metadata headers of a request from another node. The error names the header that is
// missing or malformed; the metadata read so far is returned with it.
func Read(header http.Header) (Metadata, error) {
	metadata := Metadata{
		RequestID: header.Get(eelgrasspoint.HeaderRequestID),
		Client:    header.Get(eelgrasspoint.HeaderClient),
		Route:     header.Get(eelgrasspoint.HeaderRoute),
	}
	metadata.Insists = header.Get(eelgrasspoint.HeaderInsists) != ""
	metadata.BodyOpen = header.Get(eelgrasspoint.HeaderBodyOpen) != ""
	metadata.Caller = header.Get(eelgrasspoint.HeaderCaller)
	metadata.Service = header.Get(eelgrasspoint.HeaderService)
	weight, err := strconv.ParseUint(header.Get(eelgrasspoint.HeaderWeight), 10, 32)
	if err != nil {
		return metadata, fmt.Errorf("%s: %w", eelgrasspoint.HeaderWeight, err)
	}
	metadata.Weight = uint32(weight)
	if text := header.Get(eelgrasspoint.HeaderTargetLatency); text != "" {
		if metadata.Target, err = time.ParseDuration(text); err != nil {
			return metadata, fmt.Errorf("%s: %w", eelgrasspoint.HeaderTargetLatency, err)
		}
	}
	if text := header.Get(eelgrasspoint.HeaderRevision); text != "" {
		if metadata.Revision, err = eelgrasspoint.ParseRevision(text); err != nil {
			return metadata, fmt.Errorf("%s: %w", eelgrasspoint.HeaderRevision, err)
		}
	}
	if metadata.Depth, err = strconv.Atoi(header.Get(eelgrasspoint.HeaderDepth)); err != nil {
		return metadata, fmt.Errorf("%s: %w", eelgrasspoint.HeaderDepth, err)
	}
	if metadata.Attempt, err = strconv.Atoi(header.Get(eelgrasspoint.HeaderAttempt)); err != nil {
		return metadata, fmt.Errorf("%s: %w", eelgrasspoint.HeaderAttempt, err)
	}
	if metadata.Fingerprint, err = strconv.ParseUint(header.Get(eelgrasspoint.HeaderFingerprint), 16, 64); err != nil {
		return metadata, fmt.Errorf("%s: %w", eelgrasspoint.HeaderFingerprint, err)
	}
	if metadata.Remaining, err = time.ParseDuration(header.Get(eelgrasspoint.HeaderTimeout)); err != nil {
		return metadata, fmt.Errorf("%s: %w", eelgrasspoint.HeaderTimeout, err)
	}
	if permitted := header.Get(eelgrasspoint.HeaderPermitted); permitted != "" {
		metadata.Permitted = strings.Split(permitted, ",")
	}
	return metadata, nil
}

// slownessScale converts slowness, a multiple of the usual service time, to the percentage in the load hint.
const slownessScale = 100

// WriteLoad sets the load hint of an answer and returns the bytes of the header's name and value. The value
// holds slots in use, limit, queue length, expected service time in milliseconds and, as far as they are not zero,
// slowness in percent and the pause in milliseconds, rounded up, separated by slashes.
func WriteLoad(header http.Header, load eelgrasspoint.Load) int {
	b := make([]byte, 0, 16)
	b = strconv.AppendUint(b, uint64(load.InUse), 10)
	b = append(b, '/')
	b = strconv.AppendUint(b, uint64(load.Limit), 10)
	b = append(b, '/')
	b = strconv.AppendUint(b, uint64(load.Queued), 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, load.Expected.Milliseconds(), 10)
	if load.Slowness > 0 || load.Pause > 0 {
		b = append(b, '/')
		b = strconv.AppendInt(b, int64(load.Slowness*slownessScale), 10)
	}
	if load.Pause > 0 {
		b = append(b, '/')
		b = strconv.AppendInt(b, (load.Pause + time.Millisecond - 1).Milliseconds(), 10)
	}
	header[eelgrasspoint.HeaderLoad] = []string{string(b)}
	return len(eelgrasspoint.HeaderLoad) + len(b)
}

// ReadLoad returns the load hint of an answer and whether there was a valid one.
func ReadLoad(header http.Header) (eelgrasspoint.Load, bool) {
	parts := strings.Split(header.Get(eelgrasspoint.HeaderLoad), "/")
	var numbers [6]uint32
	if len(parts) < 4 || len(parts) > len(numbers) {
		return eelgrasspoint.Load{}, false
	}
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
		Slowness: float64(numbers[4]) / slownessScale,
		Pause:    time.Duration(numbers[5]) * time.Millisecond,
	}, true
}
