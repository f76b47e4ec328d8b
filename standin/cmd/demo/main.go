// Command demo starts nodes, backend servers and the table service as separate processes on loopback,
// with the services and availability zones of the example configuration workshop.json, and checks the
// answers to callers and the output of the operators' commands.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/integrii/flaggy"

	"eelgrasspoint/standin/cluster"
)

func main() {
	bin, examples, keep := "bin", "examples", false
	flaggy.String(&bin, "b", "bin", "folder of the built programs")
	flaggy.String(&examples, "e", "examples", "folder of the example configurations")
	flaggy.Bool(&keep, "k", "keep", "keep the cluster running after the start, until interrupted")
	flaggy.Parse()
	dir, err := os.MkdirTemp("", "eelgrass-demo")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	defer os.RemoveAll(dir)
	d := &demo{
		cluster: cluster.New(bin, dir), configurationPath: filepath.Join(examples, "workshop.json"),
		started: time.Now(), keep: keep,
	}
	failed := d.run()
	d.cluster.Stop()
	if failed > 0 {
		os.RemoveAll(dir)
		os.Exit(1) //nolint:gocritic // RemoveAll above replaces the deferred call, which os.Exit skips.
	}
}
