package replay

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// measures are the names that an Expect line can bound.
var measures = map[string]func(r *Replay, path string) float64{
	"AnsweredShare":    answeredShare,
	"ServedWeight":     servedWeight,
	"P50":              func(r *Replay, path string) float64 { return r.percentile(path, 50) },
	"P99":              func(r *Replay, path string) float64 { return r.percentile(path, 99) },
	"P99.9":            func(r *Replay, path string) float64 { return r.percentile(path, 99.9) },
	"RanTwice":         ranTwice,
	"NotRunButRan":     notRunButRan,
	"WrongAnswers":     wrongAnswers,
	"OutsideHome":      outsideHome,
	"RunsPerRequest":   runsPerRequest,
	"ServedOfPossible": servedOfPossible,
	"QuarantinedShare": quarantinedShare,
	"CrashesPerPoison": crashesPerPoison,
	"Crashes":          crashes,
	"UnexplainedLoss":  unexplainedLoss,
	"LinkBytesPerSec":  linkRate,
	"Requests":         func(r *Replay, path string) float64 { return float64(len(r.of(path))) },
	"MaxRunsAtOnce":    maxRunsAtOnce,
	"RefusedShare":     refusedShare,
}

// Measure returns a measure over the requests of a path, or of all if it is empty.
// Times are in milliseconds.
func (r *Replay) Measure(name, path string) float64 { return measures[name](r, path) }

// Failures lists the stated outcomes that were not met.
func (r *Replay) Failures() []string {
	var failures []string
	for _, e := range r.trace.Expects {
		value := r.Measure(e.Measure, e.Path)
		if e.AtLeast != nil && value < *e.AtLeast {
			failures = append(failures, fmt.Sprintf("%s %s is %.4g, below %.4g", e.Measure, e.Path, value, *e.AtLeast))
		}
		if e.AtMost != nil && value > *e.AtMost {
			failures = append(failures, fmt.Sprintf("%s %s is %.4g, above %.4g", e.Measure, e.Path, value, *e.AtMost))
		}
	}
	return failures
}

// Unserved counts, by path, outcome and reason, the requests that were not served.
func (r *Replay) Unserved() map[string]int {
	counts := make(map[string]int)
	for _, result := range r.results {
		if !result.served() {
			counts[fmt.Sprintf("%s %s %d %s", result.Requests.Path, result.Outcome, result.Status, result.reason())]++
		}
	}
	return counts
}

// reason reads the reason from the body of a refusal.
func (result *Result) reason() string {
	var refusal struct{ Reason string }
	_ = json.Unmarshal([]byte(result.Reason), &refusal)
	return refusal.Reason
}

// of returns the results of a path.
func (r *Replay) of(path string) []*Result {
	var found []*Result
	for _, result := range r.results {
		if path == "" || result.Requests.Path == path {
			found = append(found, result)
		}
	}
	return found
}

func (result *Result) served() bool {
	return result.Outcome == "Answered" && result.Status < 500 && result.Own
}

func answeredShare(r *Replay, path string) float64 {
	return share(r.of(path), func(result *Result) bool { return result.served() })
}

func refusedShare(r *Replay, path string) float64 {
	return share(r.of(path), func(result *Result) bool { return result.Outcome == "NotRun" })
}

func share(results []*Result, is func(*Result) bool) float64 {
	if len(results) == 0 {
		return 0
	}
	n := 0
	for _, result := range results {
		if is(result) {
			n++
		}
	}
	return float64(n) / float64(len(results))
}

func servedWeight(r *Replay, path string) float64 {
	var served, all float64
	for _, result := range r.of(path) {
		weight := max(result.Requests.Weight, 1)
		all += weight
		if result.served() {
			served += weight
		}
	}
	return served / max(all, 1)
}

// servedOfPossible relates the weight that was served to the most that the slots of all servers
// could have carried, the heaviest requests first, while the requests came.
func servedOfPossible(r *Replay, path string) float64 {
	var served float64
	count := make(map[float64]float64)
	first, last := time.Hour, time.Duration(0)
	for _, result := range r.of(path) {
		weight := max(result.Requests.Weight, 1)
		count[weight]++
		if result.served() {
			served += weight
		}
		first = min(first, result.Requests.At)
		last = max(last, result.Requests.At+result.Requests.For)
	}
	return served / max(possible(count, r.capacity(last-first)), 1)
}

// possible fills the capacity with the heaviest requests.
func possible(count map[float64]float64, capacity float64) float64 {
	total := 0.0
	for _, weight := range slices.Backward(slices.Sorted(maps.Keys(count))) {
		runs := min(count[weight], capacity)
		capacity -= runs
		total += runs * weight
	}
	return total
}

// capacity is the number of requests that all slots can run in the time.
func (r *Replay) capacity(time time.Duration) float64 {
	capacity := 0.0
	for _, group := range r.trace.Servers {
		capacity += float64(group.Count*group.Slots) * float64(time) / float64(group.ServiceTime)
	}
	return capacity
}

func (r *Replay) percentile(path string, p float64) float64 {
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, result := range r.of(path) {
		if result.served() {
			_ = histogram.RecordValue(result.Took.Microseconds())
		}
	}
	return float64(histogram.ValueAtPercentile(p)) / 1000
}

// runs returns how often each request ran, over all backend servers that ever were.
func (r *Replay) runs() map[string]int {
	total := make(map[string]int)
	for _, n := range r.simulator.Nodes {
		for _, b := range n.Backends() {
			for id, count := range b.Runs() {
				total[id] += count
			}
		}
	}
	return total
}

func ranTwice(r *Replay, path string) float64 {
	runs := r.runs()
	n := 0
	for _, result := range r.of(path) {
		allowed := result.Sends
		if result.Requests.Once && runs[result.ID] > allowed {
			n++
		}
	}
	return float64(n)
}

// notRunButRan looks at requests that were sent once and answered "not run".
func notRunButRan(r *Replay, path string) float64 {
	runs := r.runs()
	n := 0
	for _, result := range r.of(path) {
		if result.Sends == 1 && result.Outcome == "NotRun" && runs[result.ID] > 0 {
			n++
		}
	}
	return float64(n)
}

// wrongAnswers counts whole answers that belong to another request or lost a part.
func wrongAnswers(r *Replay, path string) float64 {
	n := 0
	for _, result := range r.of(path) {
		if result.Outcome == "Answered" && result.Status < 500 && !result.Own {
			n++
		}
	}
	return float64(n)
}

func outsideHome(r *Replay, path string) float64 {
	n := 0
	for _, node := range r.simulator.Nodes {
		ran := make(map[string]bool)
		for _, b := range node.Backends() {
			for id := range b.Runs() {
				ran[id] = true
			}
		}
		for _, result := range r.of(path) {
			home := result.Requests.Home
			if len(home) > 0 && ran[result.ID] && !slices.Contains(home, node.Region) {
				n++
			}
		}
	}
	return float64(n)
}

func runsPerRequest(r *Replay, path string) float64 {
	runs := r.runs()
	total, sends := 0, 0
	for _, result := range r.of(path) {
		total += runs[result.ID]
		sends += result.Sends
	}
	return float64(total) / float64(max(sends, 1))
}

func crashes(r *Replay, _ string) float64 {
	n := 0
	for _, node := range r.simulator.Nodes {
		n += node.Crashes()
	}
	return float64(n)
}

func quarantinedShare(r *Replay, path string) float64 {
	return share(r.of(path), func(result *Result) bool { return strings.Contains(result.Reason, "Quarantined") })
}

// crashesPerPoison relates the crashes to the requests that cause them.
func crashesPerPoison(r *Replay, path string) float64 {
	poisons := 0
	for _, result := range r.of(path) {
		if result.Requests.Crash {
			poisons++
		}
	}
	return crashes(r, path) / float64(max(poisons, 1))
}

// unexplainedLoss counts requests that the caller got neither an answer nor an outcome for.
func unexplainedLoss(r *Replay, path string) float64 {
	n := 0
	for _, result := range r.of(path) {
		if result.Outcome == "" {
			n++
		}
	}
	return float64(n)
}

func linkRate(r *Replay, _ string) float64 {
	return float64(r.simulator.Network.LinkBytes()) / r.lasted.Seconds()
}

func maxRunsAtOnce(r *Replay, path string) float64 {
	most := 0
	for _, node := range r.simulator.Nodes {
		if path != "" && !strings.HasPrefix(path, "/"+node.Service) {
			continue
		}
		for _, b := range node.Backends() {
			most = max(most, b.MaxInUse())
		}
	}
	return float64(most)
}
