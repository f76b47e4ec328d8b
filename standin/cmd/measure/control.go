package main

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"eelgrasspoint/standin/cluster"
)

// Durations of the control-plane measurement.
const (
	settleDuration  = 25 * time.Second
	controlDuration = 30 * time.Second
)

func parseSizes(text string) []int {
	var sizes []int
	for part := range strings.SplitSeq(text, ",") {
		if n, err := strconv.Atoi(part); err == nil {
			sizes = append(sizes, n)
		}
	}
	return sizes
}

// usageSample holds one node's resource usage at one moment: resident bytes, and counters since its
// start.
type usageSample struct {
	cpu      time.Duration
	bytes    float64
	messages float64
	storeCalls    float64
	residentBytes float64
	messagesByKind    []float64
}

// startedMessagesMetric is the counter of the messages that a node started, by kind.
const startedMessagesMetric = "eelgrass_exchange_messages_total"

// refusalPrefix is the prefix of the keys that hold the refusals by reason.
const refusalPrefix = "refused "

func kindLabel(kind string) string { return `kind="` + kind + `"}` }

// measureControl runs nodes without backend servers and requests, so that all of their resource usage
// is that of the control plane.
func measureControl(c *cluster.Cluster, size int) error {
	platform, err := c.StartPlatform()
	if err != nil {
		return err
	}
	zones := []string{"almaty-a", "almaty-b", "astana-a", "astana-b"}
	for i := range size {
		zone := zones[i%len(zones)]
		spec := cluster.NodeSpec{Name: fmt.Sprintf("node-%d", i), Region: zone[:6], Zone: zone, Service: "vitrine", Slots: 13, WithoutBackend: true}
		if _, err := c.StartNode(spec, platform, nil); err != nil {
			return err
		}
	}
	started := time.Now()
	time.Sleep(settleDuration)
	if output, status := c.Run("eelgrassctl", "--node", c.Nodes[0].Control.String(), "apply", "--file", "examples/workshop.json", "--wait", "--wait-time", "30s"); status != 0 {
		return fmt.Errorf("%d nodes: %s", size, output)
	}
	members := scrapeMetrics(c.Nodes[size-1])["eelgrass_members"]
	before := sampleNodes(c)
	time.Sleep(controlDuration)
	after := sampleNodes(c)
	printUsage(size, members, before, after, time.Since(started))
	return measureChange(c, size)
}

func sampleNodes(c *cluster.Cluster) []usageSample {
	samples := make([]usageSample, len(c.Nodes))
	for i, n := range c.Nodes {
		v := scrapeMetrics(n)
		samples[i] = usageSample{
			cpu: n.Process.CPUTime(), bytes: v["eelgrass_exchange_bytes_total"], messages: v[startedMessagesMetric],
			messagesByKind: []float64{v[kindLabel("Converse")], v[kindLabel("Changes")], v[kindLabel("Members")]},
			storeCalls: v["eelgrass_store_calls_total"], residentBytes: float64(n.Process.ResidentBytes()),
		}
	}
	return samples
}

// printUsage prints means per node. Only the node that opened a connection counts its bytes, so the
// mean of the bytes is doubled: each node transfers as many again on connections that others opened.
func printUsage(size int, members float64, before, after []usageSample, elapsed time.Duration) {
	var cpu time.Duration
	var bytes, messages, store, resident, maxResident float64
	for i := range after {
		cpu += after[i].cpu - before[i].cpu
		bytes += after[i].bytes - before[i].bytes
		messages += after[i].messages - before[i].messages
		store += after[i].storeCalls - before[i].storeCalls
		resident += after[i].residentBytes
		maxResident = max(maxResident, after[i].residentBytes)
	}
	n, seconds := float64(len(after)), controlDuration.Seconds()
	kinds := make([]float64, 3)
	for i := range after {
		for k := range kinds {
			kinds[k] += (after[i].messagesByKind[k] - before[i].messagesByKind[k]) / n / seconds
		}
	}
	fmt.Printf("%4d nodes: messages/s started per node: heartbeats %.3f, changes %.3f, member lists %.4f\n", size, kinds[0], kinds[1], kinds[2])
	fmt.Printf("%4d nodes (%.0f in the member list): %.3f%% of a core, %.0f B/s exchanged, %.2f messages/s started, %.3f store calls/s, %.1f MB (maximum %.1f) per node; %v\n",
		size, members, 100*cpu.Seconds()/n/seconds, 2*bytes/n/seconds, messages/n/seconds, store/n/seconds,
		resident/n/(1<<20), maxResident/(1<<20), elapsed.Round(time.Second))
}

// measureChange prints the shortest and the longest time until a change was in force on all nodes.
func measureChange(c *cluster.Cluster, size int) error {
	var times []time.Duration
	for i, out := range []string{"out", "in", "out", "in", "out", "in"} {
		node := c.Nodes[(i*7)%size]
		started := time.Now()
		if output, status := c.Run("eelgrassctl", "--node", node.Control.String(), "zone", out, "almaty-a", "--wait", "--force"); status != 0 {
			return fmt.Errorf("zone %s: %s", out, output)
		}
		times = append(times, time.Since(started))
	}
	slices.Sort(times)
	fmt.Printf("%4d nodes: a change was confirmed in force on all nodes after %v to %v (polled every 200 ms)\n",
		size, times[0].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
	return nil
}

// scrapeMetrics reads the node's metrics and sums each over its labels. It also sums started messages
// by kind and requests without an answer by reason.
func scrapeMetrics(n *cluster.Node) map[string]float64 {
	sums := make(map[string]float64)
	response, err := http.Get("http://" + n.Control.String() + "/metrics")
	if err != nil {
		return sums
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, value, found := strings.Cut(scanner.Text(), " ")
		if !found || strings.HasPrefix(name, "#") {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		family, labels, _ := strings.Cut(name, "{")
		sums[family] += v
		switch family {
		case startedMessagesMetric:
			sums[labels] += v
		case "eelgrass_requests_without_answer_total":
			sums[refusalPrefix+labels] += v
		}
	}
	return sums
}
