package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { checks["copies"] = playCopies }

// playCopies checks TWICE and REFUSED: an instance sends a second copy of a refusal late, on a connection that is in
// use again.
func playCopies(c *cluster, trouble bool) (bool, error) {
	var instances []*instance
	var machines []*machine
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, 2))
	sheds := func(*http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64() < 0.1
	}
	for n, zone := range []string{"braga", "porto", "braga"} {
		service := "liquida"
		if n == 2 {
			service = "montra"
		}
		m, err := c.addMachine(zone, service)
		if err != nil {
			return false, err
		}
		options := instanceOptions{id: fmt.Sprintf("i-02d9e6b%d", n), slots: 18, work: 290 * time.Millisecond}
		if n == 0 {
			options.sheds, options.repeatsLate = sheds, trouble
		}
		i, err := m.startInstance(options)
		if err != nil {
			return false, err
		}
		machines, instances = append(machines, m), append(instances, i)
	}
	c.publish(5, route{prefix: "/sales/", kind: "unsafe", service: "liquida", target: 0.8, timeout: 3, attempts: 2, priority: 1})
	if err := c.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	caller := newClient(machines[2])
	load := startTraffic(20, func(n int) result {
		return caller.do(http.MethodPost, fmt.Sprintf("/sales/%d", n), []byte("sale"), 3*time.Second)
	})
	time.Sleep(15 * time.Second)
	results := load.stop()
	time.Sleep(time.Second)
	twice, refused := countRuns(instances[:2], results)
	fmt.Printf("requests that aren't idempotent: %d, run more than once: %d, answered as not run though they ran: %d\n", len(results), twice, refused)
	return twice > 0 || refused > 0, nil
}

// countRuns returns how many requests ran more than once, and how many ran and were answered as not run.
func countRuns(instances []*instance, results []result) (twice, refused int) {
	runs := make(map[string]int)
	for _, i := range instances {
		for _, a := range i.seen() {
			if a.ran {
				runs[a.id]++
			}
		}
	}
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	for _, r := range results {
		switch r.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if runs[r.id] > 0 {
				refused++
			}
		}
	}
	return twice, refused
}
