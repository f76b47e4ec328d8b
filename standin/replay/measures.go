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

// measures maps each Measure of an Expect line to the function that computes it.
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
	"LinkBytesPerSec":  linkBytesPerSecond,
	"Requests":         func(r *Replay, path string) float64 { return float64(len(r.resultsFor(path))) },
	"MaxRunsAtOnce":    maxRunsAtOnce,
	"RefusedShare":     refusedShare,
}

// Measure computes the named measure over the requests of a path, or over all requests if path is
// empty. Times are in milliseconds.
func (r *Replay) Measure(name, path string) float64 { return measures[name](r, path) }

// Failures lists the Expect lines of the trace that were not met, with measured value and bound.
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

// Unserved counts the requests that were not served, by path, outcome, status and reason.
func (r *Replay) Unserved() map[string]int {
	counts := make(map[string]int)
	for _, result := range r.results {
		if !result.served() {
			counts[fmt.Sprintf("%s %s %d %s", result.Requests.Path, result.Outcome, result.Status, result.errorReason())]++
		}
	}
	return counts
}

// errorReason returns the reason in the body of an error response of a node, or "" if there is none.
func (result *Result) errorReason() string {
	var errorResponse struct{ Reason string }
	_ = json.Unmarshal([]byte(result.Reason), &errorResponse)
	return errorResponse.Reason
}

// resultsFor returns the results of a path, or all results if path is empty.
func (r *Replay) resultsFor(path string) []*Result {
	var found []*Result
	for _, result := range r.results {
		if path == "" || result.Requests.Path == path {
			found = append(found, result)
		}
	}
	return found
}

// served reports whether the caller got the whole answer to its request, with a status below 500.
func (result *Result) served() bool {
	return result.Outcome == "Answered" && result.Status < 500 && result.Own
}

func answeredShare(r *Replay, path string) float64 {
	return share(r.resultsFor(path), func(result *Result) bool { return result.served() })
}

// refusedShare returns the share of requests whose outcome was NotRun.
func refusedShare(r *Replay, path string) float64 {
	return share(r.resultsFor(path), func(result *Result) bool { return result.Outcome == "NotRun" })
}

func share(results []*Result, matches func(*Result) bool) float64 {
	if len(results) == 0 {
		return 0
	}
	n := 0
	for _, result := range results {
		if matches(result) {
			n++
		}
	}
	return float64(n) / float64(len(results))
}

func servedWeight(r *Replay, path string) float64 {
	var served, all float64
	for _, result := range r.resultsFor(path) {
		weight := max(result.Requests.Weight, 1)
		all += weight
		if result.served() {
			served += weight
		}
	}
	return served / max(all, 1)
}

// servedOfPossible divides the served weight by the largest weight that the slots of all servers could
// have served from the start of the first stream to the end of the last, heaviest requests first.
func servedOfPossible(r *Replay, path string) float64 {
	var served float64
	count := make(map[float64]float64)
	// One hour is assumed to be later than the start of every stream.
	first, last := time.Hour, time.Duration(0)
	for _, result := range r.resultsFor(path) {
		weight := max(result.Requests.Weight, 1)
		count[weight]++
		if result.served() {
			served += weight
		}
		first = min(first, result.Requests.At)
		last = max(last, result.Requests.At+result.Requests.For)
	}
	return served / max(maxServableWeight(count, r.capacity(last-first)), 1)
}

// maxServableWeight returns the total weight when capacity, a number of requests, is filled with the
// heaviest requests first. count is the number of requests by weight.
func maxServableWeight(count map[float64]float64, capacity float64) float64 {
	total := 0.0
	for _, weight := range slices.Backward(slices.Sorted(maps.Keys(count))) {
		runs := min(count[weight], capacity)
		capacity -= runs
		total += runs * weight
	}
	return total
}

// capacity returns the number of requests that the slots of all servers can run within the period.
func (r *Replay) capacity(period time.Duration) float64 {
	capacity := 0.0
	for _, group := range r.trace.Servers {
		capacity += float64(group.Count*group.Slots) * float64(period) / float64(group.ServiceTime)
	}
	return capacity
}

// percentile returns the p-th percentile of the served requests' latency in milliseconds.
func (r *Replay) percentile(path string, p float64) float64 {
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, result := range r.resultsFor(path) {
		if result.served() {
			_ = histogram.RecordValue(result.Took.Microseconds())
		}
	}
	return float64(histogram.ValueAtPercentile(p)) / 1000
}

// runsByRequest returns the number of runs by request identifier, over all backend servers of the
// replay, including those that were replaced.
func (r *Replay) runsByRequest() map[string]int {
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

// ranTwice counts the requests with Once that ran more often than they were sent, so that at least one
// send ran twice.
func ranTwice(r *Replay, path string) float64 {
	runs := r.runsByRequest()
	n := 0
	for _, result := range r.resultsFor(path) {
		sends := result.Sends
		if result.Requests.Once && runs[result.ID] > sends {
			n++
		}
	}
	return float64(n)
}

// notRunButRan counts the requests that ran although their outcome was NotRun. Requests that were
// sent more than once are left out, since an earlier send may have run.
func notRunButRan(r *Replay, path string) float64 {
	runs := r.runsByRequest()
	n := 0
	for _, result := range r.resultsFor(path) {
		if result.Sends == 1 && result.Outcome == "NotRun" && runs[result.ID] > 0 {
			n++
		}
	}
	return float64(n)
}

// wrongAnswers counts the complete answers that belong to another request or lack a part of the body.
func wrongAnswers(r *Replay, path string) float64 {
	n := 0
	for _, result := range r.resultsFor(path) {
		if result.Outcome == "Answered" && result.Status < 500 && !result.Own {
			n++
		}
	}
	return float64(n)
}

// outsideHome counts the requests that ran at nodes outside their home regions, once for each such node.
func outsideHome(r *Replay, path string) float64 {
	n := 0
	for _, node := range r.simulator.Nodes {
		ran := make(map[string]bool)
		for _, b := range node.Backends() {
			for id := range b.Runs() {
				ran[id] = true
			}
		}
		for _, result := range r.resultsFor(path) {
			home := result.Requests.Home
			if len(home) > 0 && ran[result.ID] && !slices.Contains(home, node.Region) {
				n++
			}
		}
	}
	return float64(n)
}

// runsPerRequest divides the number of runs by the number of sends.
func runsPerRequest(r *Replay, path string) float64 {
	runs := r.runsByRequest()
	total, sends := 0, 0
	for _, result := range r.resultsFor(path) {
		total += runs[result.ID]
		sends += result.Sends
	}
	return float64(total) / float64(max(sends, 1))
}

// crashes counts the crashes of backend servers that requests of all paths caused; the path is ignored.
func crashes(r *Replay, _ string) float64 {
	n := 0
	for _, node := range r.simulator.Nodes {
		n += node.Crashes()
	}
	return float64(n)
}

// quarantinedShare returns the share of requests that were refused with the reason Quarantined. It
// searches Result.Reason, the body of the error response, for this word.
func quarantinedShare(r *Replay, path string) float64 {
	return share(r.resultsFor(path), func(result *Result) bool { return strings.Contains(result.Reason, "Quarantined") })
}

// crashesPerPoison divides the number of crashes, over all paths, by the number of requests of the path
// that crash a backend server when they run.
func crashesPerPoison(r *Replay, path string) float64 {
	poisons := 0
	for _, result := range r.resultsFor(path) {
		if result.Requests.Crash {
			poisons++
		}
	}
	return crashes(r, path) / float64(max(poisons, 1))
}

// unexplainedLoss counts the requests for which the caller got neither an answer nor an outcome.
func unexplainedLoss(r *Replay, path string) float64 {
	n := 0
	for _, result := range r.resultsFor(path) {
		if result.Outcome == "" {
			n++
		}
	}
	return float64(n)
}

// linkBytesPerSecond divides all bytes sent between regions, also before and after the trace, by the
// duration of the trace. The path is ignored.
func linkBytesPerSecond(r *Replay, _ string) float64 {
	return float64(r.simulator.Network.LinkBytes()) / r.duration.Seconds()
}

// maxRunsAtOnce returns the largest number of requests in flight at one backend server of the path's
// service, or of any service if path is empty. Requests of all paths of the service count.
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
