// The harness starts nodes of the load balancer as separate processes beside stand-ins of instances, clients and the
// platform's store, plays a scenario and judges a rule by what the stand-ins saw.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the scenario could not be played.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitNotPlayed = 2
	// maxPlay bounds a whole play, with its start and end.
	maxPlay = 110 * time.Second
)

// scenario plays the disruption, if there is to be one, and returns what broke the rule, empty if it held.
type scenario func(c *cluster, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{
	"evacuation-after-restore":         evacuationAfterRestore,
	"evacuation-skipped-after-restore": evacuationSkippedAfterRestore,
	"body-of-captures":                 bodyOfCaptures,
	"crash-in-chunks":                  crashInChunks,
	"crash-with-length":                crashWithLength,
	"crash-after-restarts":             crashAfterRestarts,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("scenario", "", "the scenario to play")
	binary := flag.String("eelgrassd", "target/eelgrassd", "the program of a node")
	recordFile := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	folder := flag.String("folder", "", "a temporary folder for settings and logs")
	flag.Parse()
	play, found := scenarios[*name]
	if !found || *folder == "" {
		flag.Usage()
		return exitNotPlayed
	}
	file, err := os.Create(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	defer file.Close()
	rec := newRecord(file)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("scenario %s, trouble %v", *name, trouble)
	c, err := startCluster(*binary, *folder, rec)
	defer c.close()
	time.AfterFunc(maxPlay, func() {
		c.close()
		os.Exit(exitNotPlayed)
	})
	var broken string
	if err == nil {
		broken, err = play(c, trouble)
	}
	switch {
	case err != nil:
		rec.note("not played: %v", err)
		return exitNotPlayed
	case broken != "":
		rec.note("BROKEN: %s", broken)
		return exitBroken
	default:
		rec.note("held")
		return exitHeld
	}
}
