// Command eelgrassctl is the operators' client: every verb is one or a few calls of a node.
package main

import (
	"os"
)

func main() {
	options, status := parseOptions(os.Args[1:], os.Stderr)
	if options == nil {
		os.Exit(status)
	}
	os.Exit(newSession(options, os.Stdout, os.Stderr).run())
}
