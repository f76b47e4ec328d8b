package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	service    = "shop"
	host       = "shop.example"
	zoneA      = "almaty-a"
	zoneB      = "almaty-b"
	region     = "almaty"
	clientRate = 20
	workTime   = 70 * time.Millisecond
	readyTime  = 15 * time.Second
	callPeriod = time.Second / clientRate
)

var regionByZone = map[string]string{zoneA: region, zoneB: region}

// cluster is a small deployment: four machines in two zones, each with a node and an instance.
type cluster struct {
	record    *record
	store     *store
	nodes     []*node
	instances []*instance
	closing   sync.Once
}

// startCluster starts the store, the nodes and the instances. The cluster is returned even with an error.
func startCluster(binary, folder string, rec *record) (*cluster, error) {
	c := &cluster{record: rec}
	var err error
	if c.store, err = newStore("127.0.0.1:0"); err != nil {
		return c, err
	}
	c.putConfig(1, 2.0)
	for k := range 4 {
		zone := []string{zoneA, zoneB}[k%2]
		a, err := newAddresses(fmt.Sprintf("127.0.1.%d", k+1))
		if err != nil {
			return c, err
		}
		n := &node{name: fmt.Sprintf("sidecar-%s-%d", zone, k/2+1), zone: zone, region: region, service: service, addresses: a, binary: binary}
		if err := n.writeSettings(folder, c.store.listener.Addr().String(), regionByZone); err != nil {
			return c, err
		}
		if err := n.start(); err != nil {
			return c, err
		}
		c.nodes = append(c.nodes, n)
		i := &instance{
			name: fmt.Sprintf("i-%s-%d", zone, k/2+1), service: service, zone: zone, address: a.backend, announceTo: a.controlPlane,
			work: workTime, record: rec.ran,
		}
		if err := i.start(); err != nil {
			return c, err
		}
		c.instances = append(c.instances, i)
	}
	return c, c.waitReady()
}

// waitReady waits until all nodes say that they are ready and serve a request.
func (c *cluster) waitReady() error {
	for deadline := time.Now().Add(readyTime); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		ready := 0
		for _, n := range c.nodes {
			if get("http://"+n.addresses.ready+wire.ReadinessPath) == http.StatusOK && c.call(n, "warm-up") == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.nodes) {
			return nil
		}
	}
	return errors.New("the nodes did not become ready")
}

func (c *cluster) close() {
	c.closing.Do(func() {
		for _, n := range c.nodes {
			n.end()
		}
		for _, i := range c.instances {
			i.close()
		}
		if c.store != nil {
			c.store.close()
		}
	})
}

// putConfig writes a desired state with one route, as the operator does, and returns the store's version of it.
func (c *cluster) putConfig(version int, timeoutS float64) uint64 {
	value := fill(stateTemplate, struct {
		Version       int
		Host, Service string
		Timeout       float64
	}{version, host, service, timeoutS})
	at := c.store.put("op", "config", value)
	c.record.note("operator: the store acknowledges desired state %08x with version %d", version, at)
	return at
}

func get(url string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// call sends a request to a node as a client of its machine, and returns the status of the answer.
func (c *cluster) call(n *node, id string) int {
	return c.send(n, id, http.MethodGet, "/shop/item", nil)
}

// book sends a booking, which must not run twice; all have the same path. The body is sent in chunks or with its length.
func (c *cluster) book(n *node, id, body string, chunked bool) int {
	var reader io.Reader = strings.NewReader(body)
	if chunked {
		// The client can't tell the length of this type.
		reader = io.MultiReader(reader)
	}
	return c.send(n, id, http.MethodPost, "/pay/book", reader)
}

func (c *cluster) send(n *node, id, method, path string, body io.Reader) int {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.addresses.outbound+path, body)
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set(wire.RequestID, id)
	request.Header.Set(wire.Deadline, "2000")
	sentAt := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.record.write(sentAt, fmt.Sprintf("sent %s %s to %s: %v", id, path, n.name, err))
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	c.record.answered(id, response.StatusCode)
	c.record.write(sentAt, fmt.Sprintf("sent %s %s to %s: answered %d", id, path, n.name, response.StatusCode))
	return response.StatusCode
}

// clients send requests to each node until the returned function is called, which waits for their end. One client of each
// machine reads, the other books, with bodies of its own.
func (c *cluster) clients(chunked bool) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, n := range c.nodes {
		for k := 0; k < 2; k++ {
			running.Go(func() {
				for count := 0; ctx.Err() == nil; count++ {
					if id := fmt.Sprintf("%s-%d-%d", n.name, k, count); k == 0 {
						c.call(n, id)
					} else {
						c.book(n, id, "the booking "+id, chunked)
					}
					time.Sleep(callPeriod)
				}
			})
		}
	}
	return func() {
		cancel()
		running.Wait()
	}
}
