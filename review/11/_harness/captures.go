package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// pathCaptures is the path of a file of captured answers: records of a fixed length, padded with blanks.
	pathCaptures  = "/shop/captures"
	recordBytes   = 4096
	recordCount   = 16
	captureCalls  = 10
	captureReads  = 5 * time.Second
	badRequestTxt = "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n400 Bad Request"
	// otherTxt is a text of the same length that is no answer.
	otherTxt = "HTTP/1.1-400 Bad Request\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n400 Bad Request"
)

// captures returns the file, whose records all hold the text.
func captures(text string) []byte {
	record := append([]byte(text), bytes.Repeat([]byte(" "), recordBytes-len(text))...)
	return bytes.Repeat(record, recordCount)
}

// bodyOfCaptures plays clients that read a file of captured answers, and then send another request on the same connection.
func bodyOfCaptures(c *cluster, trouble bool) (string, error) {
	text := otherTxt
	if trouble {
		text = badRequestTxt
	}
	for _, i := range c.instances {
		i.setCapture(text)
	}
	want := captures(text)
	wrong, broken, read := 0, 0, 0
	for _, n := range c.nodes {
		client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}}
		for k := range captureCalls {
			id := fmt.Sprintf("%s-%d", n.name, k)
			status, body, err := c.read(client, n, id+"-file", pathCaptures)
			c.record.note("sent %s to %s: status %d, %d bytes, as the instance sent them: %v, error: %v", id, n.name, status, len(body), bytes.Equal(body, want), err)
			if status != http.StatusOK {
				continue
			}
			read++
			if !bytes.Equal(body, want) {
				wrong++
				c.record.note("first difference at byte %d: %.60q", firstDifference(body, want), body[firstDifference(body, want):])
			}
			if status, _, err = c.read(client, n, id+"-next", "/shop/item"); err != nil || status != http.StatusOK {
				broken++
				c.record.note("the next request on the connection: status %d, %v", status, err)
			}
		}
		client.CloseIdleConnections()
	}
	c.record.note("%d files read, %d of them with other bytes than the instance sent; %d next requests failed", read, wrong, broken)
	if read == 0 {
		return "", fmt.Errorf("no file was read")
	}
	if wrong > 0 {
		return fmt.Sprintf("MIXED: %d successes with a body that is not the instance's", wrong), nil
	}
	return "", nil
}

// firstDifference returns the index of the first byte that differs, or the length of the shorter one.
func firstDifference(a, b []byte) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}

// read sends a request and reads the whole answer.
func (c *cluster) read(client *http.Client, n *node, id, path string) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), captureReads)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.addresses.outbound+path, nil)
	if err != nil {
		return 0, nil, err
	}
	request.Host = host
	request.Header.Set(wire.RequestID, id)
	request.Header.Set(wire.Deadline, "2000")
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}
