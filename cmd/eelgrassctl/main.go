// Command eelgrassctl is the operators' command-line client. Most verbs make one or a few calls to a
// node; validate, explain and completion work without one.
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
