// Command measure takes the measurements that need real processes: the latency that the entry and the
// exit node add to a call, and the resource usage of the control plane per node at several cluster
// sizes.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"eelgrasspoint/standin/cluster"
)

func main() {
	bin, sizes, only := "bin", "15,60,150,300", ""
	flaggy.String(&bin, "b", "bin", "folder of the built programs")
	flaggy.String(&sizes, "s", "sizes", "cluster sizes for the control-plane measurement, in nodes, separated by commas")
	flaggy.String(&only, "o", "only", "measurement to run: path or control; any other value runs both (default: both)")
	flaggy.Parse()
	if only != "control" {
		withCluster(bin, measurePath)
	}
	if only != "path" {
		for _, size := range parseSizes(sizes) {
			withCluster(bin, func(c *cluster.Cluster) error { return measureControl(c, size) })
		}
	}
}

// withCluster runs a measurement in a new cluster, prints its error and stops the cluster's processes.
// The exit status of the command does not depend on the error.
func withCluster(bin string, measurement func(*cluster.Cluster) error) {
	dir, err := os.MkdirTemp("", "eelgrass-measure")
	if err == nil {
		defer os.RemoveAll(dir)
		c := cluster.New(bin, dir)
		defer c.Stop()
		err = measurement(c)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
	}
}
