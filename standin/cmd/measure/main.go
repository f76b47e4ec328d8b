// Command measure takes the figures that need real processes: the time that the whole path
// adds to a call, and what control alone costs each node at several sizes.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"eelgrasspoint/standin/cluster"
)

func main() {
	bin, sizes, only := "bin", "15,60,150,300", ""
	flaggy.String(&bin, "b", "bin", "folder of the programs")
	flaggy.String(&sizes, "s", "sizes", "numbers of nodes for the cost of control")
	flaggy.String(&only, "o", "only", "path or control; both if empty")
	flaggy.Parse()
	if only != "control" {
		inCluster(bin, measurePath)
	}
	if only != "path" {
		for _, size := range parseSizes(sizes) {
			inCluster(bin, func(c *cluster.Cluster) error { return measureControl(c, size) })
		}
	}
}

// inCluster runs a measurement with processes that end with it.
func inCluster(bin string, measurement func(*cluster.Cluster) error) {
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
