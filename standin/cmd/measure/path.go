package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"eelgrasspoint/standin/cluster"
)

// Bounds of the measurement of the path.
const (
	callsPerSecond = 270
	pathTime       = 15 * time.Second
	saturationTime = 5 * time.Second
	workers        = 64
	pathSlots      = 64
)

// measurePath calls a backend server straight and through both hops in turn, in one run.
func measurePath(c *cluster.Cluster) error {
	platform, err := c.StartPlatform()
	if err != nil {
		return err
	}
	entry, err := c.StartNode(cluster.NodeSpec{Name: "entry", Region: "almaty", Zone: "almaty-a", Service: "vitrine", Slots: pathSlots, WithoutBackend: true}, platform, nil)
	if err != nil {
		return err
	}
	exit, err := c.StartNode(cluster.NodeSpec{Name: "exit", Region: "almaty", Zone: "almaty-b", Service: "vitrine", Slots: pathSlots}, platform, nil)
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if output, status := c.Run("eelgrassctl", "--node", entry.Control.String(), "apply", "--file", "examples/workshop.json", "--wait"); status != 0 {
		return fmt.Errorf("apply: %s", output)
	}
	direct := "http://" + exit.BackendAddress.String() + "/catalogue/1"
	oneHop := "http://" + exit.Callers.String() + "/catalogue/1"
	twoHops := "http://" + entry.Callers.String() + "/catalogue/1"
	steady(direct, oneHop, twoHops)
	saturated(direct, oneHop, twoHops)
	fmt.Printf("limit after it: %.0f of %d slots\n", values(exit)["eelgrass_backend_limit"], pathSlots)
	refusals(entry)
	refusals(exit)
	fmt.Printf("memory after it: entry %.1f MB, exit %.1f MB\n", megabytes(entry.Process), megabytes(exit.Process))
	return nil
}

func megabytes(p *cluster.Process) float64 { return float64(p.ResidentBytes()) / (1 << 20) }

// steady calls each target at the same rate at the same time.
func steady(targets ...string) {
	histograms := make([]*hdrhistogram.Histogram, len(targets))
	var group sync.WaitGroup
	for i, target := range targets {
		histograms[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		group.Go(func() { paced(target, histograms[i]) })
	}
	group.Wait()
	fmt.Printf("%d calls/s each for %v, milliseconds\n%-18s %8s %8s %8s\n", callsPerSecond, pathTime, "", "p50", "p99", "p99.9")
	for i, name := range []string{"straight", "one hop", "both hops"} {
		h := histograms[i]
		fmt.Printf("%-18s %8.3f %8.3f %8.3f\n", name, at(h, 50), at(h, 99), at(h, 99.9))
	}
	fmt.Printf("added by both hops at p99: %.3f ms\n", at(histograms[2], 99)-at(histograms[0], 99))
}

func at(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

// paced starts calls on a schedule, however long they take, and counts from their due time.
func paced(target string, histogram *hdrhistogram.Histogram) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	var mu sync.Mutex
	var group sync.WaitGroup
	began := time.Now()
	for number := range int(pathTime.Seconds()) * callsPerSecond {
		due := began.Add(time.Duration(number) * time.Second / callsPerSecond)
		time.Sleep(time.Until(due))
		group.Go(func() {
			if get(client, target) {
				mu.Lock()
				defer mu.Unlock()
				_ = histogram.RecordValue(time.Since(due).Microseconds())
			}
		})
	}
	group.Wait()
}

// saturated calls as fast as a number of workers can, one target after the other.
func saturated(targets ...string) {
	fmt.Printf("%d callers without pause for %v each\n", workers, saturationTime)
	var straight float64
	for i, name := range []string{"straight", "one hop", "both hops"} {
		rate, failed := flatOut(targets[i])
		if i == 0 {
			straight = rate
		}
		fmt.Printf("%-18s %8.0f calls/s answered, %.0f refused, ratio %.2f\n", name, rate, failed, rate/straight)
	}
}

func flatOut(target string) (answered, failed float64) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	var done, lost atomic.Int64
	var group sync.WaitGroup
	began := time.Now()
	for range workers {
		group.Go(func() {
			for time.Since(began) < saturationTime {
				if get(client, target) {
					done.Add(1)
				} else {
					lost.Add(1)
				}
			}
		})
	}
	group.Wait()
	seconds := time.Since(began).Seconds()
	return float64(done.Load()) / seconds, float64(lost.Load()) / seconds
}

func get(client *http.Client, target string) bool {
	response, err := client.Get(target)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// refusals prints why an entry node refused.
func refusals(n *cluster.Node) {
	for name, value := range values(n) {
		if strings.HasPrefix(name, reasonPrefix) && value > 0 {
			fmt.Printf("%s refused %.0f: %s\n", n.Name, value, strings.TrimPrefix(name, reasonPrefix))
		}
	}
}
