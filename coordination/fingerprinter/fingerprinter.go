// Package fingerprinter computes the fingerprints by which requests are recognized again after they crashed a backend server.
package fingerprinter

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"strings"
)

// Fingerprinter computes a fingerprint from the head of a request and its whole body. How the body is framed or divided into
// writes makes no difference.
type Fingerprinter struct{ hash hash.Hash }

// New returns a fingerprinter for a request with the hash that Head returned and, as long as nothing is written, no body.
func New(head uint64) *Fingerprinter {
	f := &Fingerprinter{hash: sha256.New()}
	_, _ = f.hash.Write(binary.LittleEndian.AppendUint64(nil, head))
	return f
}

// Write implements io.Writer: it adds a part of the body.
func (f *Fingerprinter) Write(p []byte) (int, error) { return f.hash.Write(p) }

// Sum returns the fingerprint of the head and of the body as written so far.
func (f *Fingerprinter) Sum() uint64 { return truncate(f.hash.Sum(nil)) }

// Head returns a hash of what a request has besides its body: method, host, target, Client and idempotency key.
func Head(method, host, target, client, key string) uint64 {
	digest := sha256.New()
	for _, part := range []string{method, strings.ToLower(host), target, client, key} {
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = digest.Write([]byte(part))
	}
	return truncate(digest.Sum(nil))
}

func truncate(digest []byte) uint64 { return binary.LittleEndian.Uint64(digest) }
