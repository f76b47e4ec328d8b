// Command scripts plays the scripted cases of this review: real nodes as processes, with stand-ins for the store, the
// instances and the clients in this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play is one run of a case.
type play struct {
	*record
	// trouble is false if the disruption is left out.
	trouble bool
	// dir is the temporary folder of the settings and logs of the nodes.
	dir   string
	store *store
	nodes []*node

	// launching is held while a node is started; ending is set once the nodes are ended.
	launching sync.Mutex
	ending    bool
}

// cases maps the names of the cases to their functions, which report whether the rule was broken.
var cases = map[string]func(p *play) (broken bool, err error){
	"mixed":     playMixed,
	"drain":     playDrain,
	"slow":      playSlow,
	"forgotten": playForgotten,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scripts CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	dir, err := os.MkdirTemp("", "case-"+name+"-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer os.RemoveAll(dir)
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	p := &play{record: rec, trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	defer p.endNodes()
	watchdog := time.AfterFunc(110*time.Second, func() { p.giveUp("the case took too long") })
	defer watchdog.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { p.giveUp("ended by signal " + (<-signals).String()) }()
	p.note("case %s, disruption: %v", name, p.trouble)
	broken, err := cases[name](p)
	switch {
	case err != nil:
		p.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken:
		p.note("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		p.note("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}

// giveUp ends all nodes and the program.
func (p *play) giveUp(reason string) {
	p.note("%s", reason)
	p.endNodes()
	_ = os.RemoveAll(p.dir)
	p.close()
	os.Exit(exitFailed)
}
