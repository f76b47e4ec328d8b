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

// Load of the path measurement. workers also bounds the idle connections of each HTTP client.
const (
	steadyCallsPerSecond = 270
	steadyDuration       = 15 * time.Second
	saturationDuration   = 5 * time.Second
	workers              = 64
	slotsPerNode         = 64
)

// measurePath calls one backend server directly, through its exit node alone, and through entry and
// exit node, in one run.
func measurePath(c *cluster.Cluster) error {
	platform, err := c.StartPlatform()
	if err != nil {
		return err
	}
	entry, err := c.StartNode(cluster.NodeSpec{Name: "entry", Region: "almaty", Zone: "almaty-a", Service: "vitrine", Slots: slotsPerNode, WithoutBackend: true}, platform, nil)
	if err != nil {
		return err
	}
	exit, err := c.StartNode(cluster.NodeSpec{Name: "exit", Region: "almaty", Zone: "almaty-b", Service: "vitrine", Slots: slotsPerNode}, platform, nil)
	if err != nil {
		return err
	}
	// The nodes need time to find each other and the backend server.
	time.Sleep(3 * time.Second)
	if output, status := c.Run("eelgrassctl", "--node", entry.Control.String(), "apply", "--file", "examples/workshop.json", "--wait"); status != 0 {
		return fmt.Errorf("eelgrassctl apply: %s", output)
	}
	direct := "http://" + exit.BackendAddress.String() + "/catalogue/1"
	viaExit := "http://" + exit.Callers.String() + "/catalogue/1"
	viaEntryAndExit := "http://" + entry.Callers.String() + "/catalogue/1"
	measureSteadyRate(direct, viaExit, viaEntryAndExit)
	measureSaturation(direct, viaExit, viaEntryAndExit)
	fmt.Printf("concurrency limit afterwards: %.0f of %d slots\n", scrapeMetrics(exit)["eelgrass_backend_limit"], slotsPerNode)
	printWithoutAnswer(entry)
	printWithoutAnswer(exit)
	fmt.Printf("resident memory afterwards: entry %.1f MiB, exit %.1f MiB\n", residentMebibytes(entry.Process), residentMebibytes(exit.Process))
	return nil
}

func residentMebibytes(p *cluster.Process) float64 { return float64(p.ResidentBytes()) / (1 << 20) }

// measureSteadyRate calls all targets at the same time, each at the same rate. In the output, "straight"
// means directly to the backend server.
func measureSteadyRate(targets ...string) {
	histograms := make([]*hdrhistogram.Histogram, len(targets))
	var group sync.WaitGroup
	for i, target := range targets {
		histograms[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		group.Go(func() { callAtFixedRate(target, histograms[i]) })
	}
	group.Wait()
	fmt.Printf("%d calls/s each for %v, milliseconds\n%-18s %8s %8s %8s\n", steadyCallsPerSecond, steadyDuration, "", "p50", "p99", "p99.9")
	for i, name := range []string{"straight", "exit node only", "entry + exit node"} {
		h := histograms[i]
		fmt.Printf("%-18s %8.3f %8.3f %8.3f\n", name, percentileMilliseconds(h, 50), percentileMilliseconds(h, 99), percentileMilliseconds(h, 99.9))
	}
	fmt.Printf("added by entry and exit node at p99: %.3f ms\n", percentileMilliseconds(histograms[2], 99)-percentileMilliseconds(histograms[0], 99))
}

func percentileMilliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

// callAtFixedRate starts calls at fixed times, even if earlier ones are still in flight. Latency is
// measured from the scheduled time, so that it includes the delay of a late start. Failed calls are
// neither recorded nor counted.
func callAtFixedRate(target string, histogram *hdrhistogram.Histogram) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	var mu sync.Mutex
	var group sync.WaitGroup
	started := time.Now()
	for number := range int(steadyDuration.Seconds()) * steadyCallsPerSecond {
		due := started.Add(time.Duration(number) * time.Second / steadyCallsPerSecond)
		time.Sleep(time.Until(due))
		group.Go(func() {
			if callSucceeds(client, target) {
				mu.Lock()
				defer mu.Unlock()
				_ = histogram.RecordValue(time.Since(due).Microseconds())
			}
		})
	}
	group.Wait()
}

// measureSaturation loads one target after another with calls from workers that don't pause between
// calls.
func measureSaturation(targets ...string) {
	fmt.Printf("%d workers without pauses, %v for each target\n", workers, saturationDuration)
	var directRate float64
	for i, name := range []string{"straight", "exit node only", "entry + exit node"} {
		rate, failed := callInClosedLoop(targets[i])
		if i == 0 {
			directRate = rate
		}
		fmt.Printf("%-18s %8.0f calls/s answered, %.0f failed, ratio %.2f\n", name, rate, failed, rate/directRate)
	}
}

// callInClosedLoop returns the answered and the failed calls per second.
func callInClosedLoop(target string) (answered, failed float64) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	var succeeded, failures atomic.Int64
	var group sync.WaitGroup
	started := time.Now()
	for range workers {
		group.Go(func() {
			for time.Since(started) < saturationDuration {
				if callSucceeds(client, target) {
					succeeded.Add(1)
				} else {
					failures.Add(1)
				}
			}
		})
	}
	group.Wait()
	seconds := time.Since(started).Seconds()
	return float64(succeeded.Load()) / seconds, float64(failures.Load()) / seconds
}

// callSucceeds reports whether the target answered with status 200 and a complete body.
func callSucceeds(client *http.Client, target string) bool {
	response, err := client.Get(target)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// printWithoutAnswer prints the number of requests that the node answered with an error of its own, by
// service and reason, as the metric's labels and in no fixed order.
func printWithoutAnswer(n *cluster.Node) {
	for name, value := range scrapeMetrics(n) {
		if strings.HasPrefix(name, withoutAnswerPrefix) && value > 0 {
			fmt.Printf("%s: %.0f requests without an answer: %s\n", n.Name, value, strings.TrimPrefix(name, withoutAnswerPrefix))
		}
	}
}
