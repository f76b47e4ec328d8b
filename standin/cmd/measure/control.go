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

// parseSizes returns the sizes in a comma-separated list. It skips entries that are not numbers.
func parseSizes(text string) []int {
	var sizes []int
	for part := range strings.SplitSeq(text, ",") {
		if n, err := strconv.Atoi(part); err == nil {
			sizes = append(sizes, n)
		}
	}
	return sizes
}

// usageSample holds one node's resource usage at one moment. All fields except residentBytes count from
// the start of the node's process.
type usageSample struct {
	cpuTime         time.Duration
	exchangedBytes  float64
	startedMessages float64
	tableCalls      float64
	residentBytes   float64
	// messagesByKind holds the started messages of the kinds Converse, Changes and Members, in this
	// order. Changes is always 0, since nodes count fetches of the configuration under the kind
	// Configuration.
	messagesByKind []float64
}

// startedMessagesMetric counts the messages that a node started, by kind.
const startedMessagesMetric = "eelgrass_exchange_messages_total"

// withoutAnswerPrefix precedes the labels in the keys under which scrapeMetrics returns the requests that
// the node answered with an error of its own.
const withoutAnswerPrefix = "without answer "

// kindLabel returns the key under which scrapeMetrics returns the started messages of one kind: the
// labels of the metric, without the opening brace.
func kindLabel(kind string) string { return `kind="` + kind + `"}` }

// measureControl runs nodes without backend servers and requests, so that all of their resource usage
// is that of the control plane.
func measureControl(c *cluster.Cluster, size int) error {
	platform, err := c.StartPlatform()
	if err != nil {
		return err
	}
	// zone[:6] is the region: both regions have names of six letters, with which the names of their zones
	// begin.
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
		return fmt.Errorf("%d nodes: eelgrassctl apply: %s", size, output)
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
			cpuTime: n.Process.CPUTime(), exchangedBytes: v["eelgrass_exchange_bytes_total"], startedMessages: v[startedMessagesMetric],
			messagesByKind: []float64{v[kindLabel("Converse")], v[kindLabel("Changes")], v[kindLabel("Members")]},
			tableCalls:     v["eelgrass_store_calls_total"], residentBytes: float64(n.Process.ResidentBytes()),
		}
	}
	return samples
}

// printUsage prints means per node; elapsed is the time since all nodes were started. Only the node that
// opened a connection counts its bytes, so the mean of the bytes is doubled: each node transfers as many
// again on connections that others opened.
func printUsage(size int, members float64, before, after []usageSample, elapsed time.Duration) {
	var cpuTime time.Duration
	var exchangedBytes, startedMessages, tableCalls, residentBytes, maxResidentBytes float64
	for i := range after {
		cpuTime += after[i].cpuTime - before[i].cpuTime
		exchangedBytes += after[i].exchangedBytes - before[i].exchangedBytes
		startedMessages += after[i].startedMessages - before[i].startedMessages
		tableCalls += after[i].tableCalls - before[i].tableCalls
		residentBytes += after[i].residentBytes
		maxResidentBytes = max(maxResidentBytes, after[i].residentBytes)
	}
	n, seconds := float64(len(after)), controlDuration.Seconds()
	kinds := make([]float64, 3)
	for i := range after {
		for k := range kinds {
			kinds[k] += (after[i].messagesByKind[k] - before[i].messagesByKind[k]) / n / seconds
		}
	}
	fmt.Printf("%4d nodes: messages/s started per node: heartbeats %.3f, changes %.3f, member lists %.4f\n", size, kinds[0], kinds[1], kinds[2])
	fmt.Printf("%4d nodes (%.0f in the member list): %.3f%% of a core, %.0f B/s exchanged, %.2f messages/s started, %.3f table service calls/s, %.1f MiB (maximum %.1f) per node; measured until %v after the start\n",
		size, members, 100*cpuTime.Seconds()/n/seconds, 2*exchangedBytes/n/seconds, startedMessages/n/seconds, tableCalls/n/seconds,
		residentBytes/n/(1<<20), maxResidentBytes/(1<<20), elapsed.Round(time.Second))
}

// measureChange makes six changes and prints the shortest and the longest time from the start
// of eelgrassctl until it reported that the change was in force on all nodes.
func measureChange(c *cluster.Cluster, size int) error {
	var times []time.Duration
	for i, direction := range []string{"out", "in", "out", "in", "out", "in"} {
		// With the default sizes this is a different node for each change.
		node := c.Nodes[(i*7)%size]
		started := time.Now()
		if output, status := c.Run("eelgrassctl", "--node", node.Control.String(), "zone", direction, "almaty-a", "--wait", "--force"); status != 0 {
			return fmt.Errorf("%d nodes: eelgrassctl zone %s almaty-a: %s", size, direction, output)
		}
		times = append(times, time.Since(started))
	}
	slices.Sort(times)
	fmt.Printf("%4d nodes: a change was confirmed in force on all nodes after %v to %v (polled every 200 ms)\n",
		size, times[0].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
	return nil
}

// scrapeMetrics returns the node's metrics by name, each summed over its labels. Started messages are
// also returned by their labels, and requests without an answer by withoutAnswerPrefix and their labels.
// The map is empty if the node can't be reached.
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
			sums[withoutAnswerPrefix+labels] += v
		}
	}
	return sums
}
