// Command soak injects random faults into real processes, one run for each seed, and prints the
// violations of the load balancer's guarantees.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"eelgrasspoint/standin/soak"
)

func main() {
	bin, dir, seed, seeds := "bin", "", 1, 1
	options := soak.Options{Nodes: 12, Duration: 30 * time.Second, Rate: 20, Log: os.Stdout}
	flaggy.String(&bin, "b", "bin", "folder of the built programs")
	flaggy.String(&dir, "d", "dir", "folder for settings and logs (default: a temporary one)")
	flaggy.Int(&seed, "s", "seed", "first seed")
	flaggy.Int(&seeds, "n", "seeds", "number of seeds")
	flaggy.Int(&options.Nodes, "", "nodes", "number of nodes")
	flaggy.Duration(&options.Duration, "t", "time", "duration of the fault injection for each seed")
	flaggy.Int(&options.Rate, "r", "rate", "requests per second to each node")
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	options.Bin = bin
	ran, failed := 0, 0
	for ; ran < seeds && ctx.Err() == nil; ran++ {
		options.Seed = uint64(seed + ran)
		failed += runSeed(ctx, options, dir)
	}
	if ran < seeds {
		fmt.Printf("interrupted: %d seeds were not run\n", seeds-ran)
	}
	fmt.Printf("%d passed, %d failed\n", ran-failed, failed)
	if failed > 0 || ran < seeds {
		os.Exit(1) //nolint:gocritic // The deferred stop only ends signal handling.
	}
}

// runSeed runs one seed and prints its result. It returns 1 if the run failed or found a violation,
// else 0.
func runSeed(ctx context.Context, options soak.Options, dir string) int {
	if dir == "" {
		temporary, err := os.MkdirTemp("", "eelgrass-soak")
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			return 1
		}
		defer os.RemoveAll(temporary)
		dir = temporary
	}
	options.Dir = filepath.Join(dir, fmt.Sprintf("seed-%d", options.Seed))
	if err := os.MkdirAll(options.Dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return 1
	}
	report, err := soak.Run(ctx, options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return 1
	}
	fmt.Printf("seed %d: %d requests, %d answered, %d not run, %d failed, %d ended by a connection error or timeout, %d violations\n",
		options.Seed, report.Requests, report.Answered, report.NotRun, report.Failed, report.Broken, len(report.Violations))
	for _, violation := range report.Violations {
		fmt.Println("  " + violation)
	}
	return min(1, len(report.Violations))
}
