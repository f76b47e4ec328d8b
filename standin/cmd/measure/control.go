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

// Times of the measurement of control.
const (
	settleTime  = 25 * time.Second
	controlTime = 30 * time.Second
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

// reading is what one node had spent at one moment.
type reading struct {
	cpu      time.Duration
	bytes    float64
	messages float64
	store    float64
	resident float64
	kinds    []float64
}

// messagesFamily counts the messages that a node began, by kind.
const messagesFamily = "eelgrass_exchange_messages_total"

// reasonPrefix begins the names under which refusals are counted by reason.
const reasonPrefix = "refused "

func kindLabel(kind string) string { return `kind="` + kind + `"}` }

// measureControl starts nodes without backend servers and without requests, so that whatever
// they spend is control.
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
	began := time.Now()
	time.Sleep(settleTime)
	if output, status := c.Run("eelgrassctl", "--node", c.Nodes[0].Control.String(), "apply", "--file", "examples/workshop.json", "--wait", "--wait-time", "30s"); status != 0 {
		return fmt.Errorf("%d nodes: %s", size, output)
	}
	known := values(c.Nodes[size-1])["eelgrass_members"]
	before := readAll(c)
	time.Sleep(controlTime)
	after := readAll(c)
	report(size, known, before, after, time.Since(began))
	return reportChange(c, size)
}

func readAll(c *cluster.Cluster) []reading {
	readings := make([]reading, len(c.Nodes))
	for i, n := range c.Nodes {
		v := values(n)
		readings[i] = reading{
			cpu: n.Process.CPUTime(), bytes: v["eelgrass_exchange_bytes_total"], messages: v[messagesFamily],
			kinds: []float64{v[kindLabel("Converse")], v[kindLabel("Changes")], v[kindLabel("Members")]},
			store: v["eelgrass_store_calls_total"], resident: float64(n.Process.ResidentBytes()),
		}
	}
	return readings
}

// report prints means per node. Bytes are counted where a connection was opened, so that each
// node sends and takes as many again on connections that others opened.
func report(size int, known float64, before, after []reading, took time.Duration) {
	var cpu time.Duration
	var bytes, messages, store, resident, most float64
	for i := range after {
		cpu += after[i].cpu - before[i].cpu
		bytes += after[i].bytes - before[i].bytes
		messages += after[i].messages - before[i].messages
		store += after[i].store - before[i].store
		resident += after[i].resident
		most = max(most, after[i].resident)
	}
	n, seconds := float64(len(after)), controlTime.Seconds()
	kinds := make([]float64, 3)
	for i := range after {
		for k := range kinds {
			kinds[k] += (after[i].kinds[k] - before[i].kinds[k]) / n / seconds
		}
	}
	fmt.Printf("%4d nodes: messages/s begun per node: heartbeats %.3f, changes %.3f, lists of members %.4f\n", size, kinds[0], kinds[1], kinds[2])
	fmt.Printf("%4d nodes (%.0f known): %.3f%% of a core, %.0f B/s exchanged, %.2f messages/s begun, %.3f store calls/s, %.1f MB (most %.1f) per node; %v\n",
		size, known, 100*cpu.Seconds()/n/seconds, 2*bytes/n/seconds, messages/n/seconds, store/n/seconds,
		resident/n/(1<<20), most/(1<<20), took.Round(time.Second))
}

// reportChange prints how long a change takes to be in force everywhere.
func reportChange(c *cluster.Cluster, size int) error {
	var times []time.Duration
	for i, out := range []string{"out", "in", "out", "in", "out", "in"} {
		node := c.Nodes[(i*7)%size]
		began := time.Now()
		if output, status := c.Run("eelgrassctl", "--node", node.Control.String(), "zone", out, "almaty-a", "--wait", "--force"); status != 0 {
			return fmt.Errorf("zone %s: %s", out, output)
		}
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	fmt.Printf("%4d nodes: a change was confirmed in force everywhere after %v to %v (asked every 200 ms)\n",
		size, times[0].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
	return nil
}

// values reads the node's metrics, summed over labels.
func values(n *cluster.Node) map[string]float64 {
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
		case messagesFamily:
			sums[labels] += v
		case "eelgrass_requests_without_answer_total":
			sums[reasonPrefix+labels] += v
		}
	}
	return sums
}
