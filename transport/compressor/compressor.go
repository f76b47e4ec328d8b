// Package compressor compresses the answers of one call between nodes.
package compressor

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// minBytes is the size from which an answer is compressed.
const minBytes = 1 << 10

// Compressor is an http.Handler that compresses the answers at one path. Callers that get the same answer one after
// the other share one compression. It is safe for concurrent use.
type Compressor struct {
	next http.Handler
	path string

	mu sync.Mutex
	// plain is the answer that was compressed last, and compressed is its compressed form.
	plain, compressed []byte
}

// New returns a compressor of the answers of next at the path.
func New(path string, next http.Handler) *Compressor {
	return &Compressor{next: next, path: path}
}

// ServeHTTP implements http.Handler.
func (c *Compressor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != c.path || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		c.next.ServeHTTP(w, r)
		return
	}
	held := &heldAnswer{ResponseWriter: w, status: http.StatusOK}
	c.next.ServeHTTP(held, r)
	body := held.body.Bytes()
	if held.status == http.StatusOK && len(body) >= minBytes {
		body = c.compress(body)
		w.Header().Set("Content-Encoding", "gzip")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(held.status)
	_, _ = w.Write(body)
}

// compress returns the compressed form of an answer.
func (c *Compressor) compress(plain []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes.Equal(plain, c.plain) {
		return c.compressed
	}
	var buffer bytes.Buffer
	// A buffer takes all writes, and the level is valid.
	writer, _ := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	_, _ = writer.Write(plain)
	_ = writer.Close()
	c.plain, c.compressed = plain, buffer.Bytes()
	return c.compressed
}

// heldAnswer is an http.ResponseWriter that holds status and body back.
type heldAnswer struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader implements http.ResponseWriter.
func (a *heldAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *heldAnswer) Write(data []byte) (int, error) { return a.body.Write(data) }
