package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2
)

// options are the command line.
type options struct {
	settings  string
	checkOnly bool
}

func parseOptions(arguments []string) options {
	var o options
	parser := flaggy.NewParser("eelgrassd")
	parser.Description = "runs a node of the load balancer beside a backend server"
	parser.ShowHelpOnUnexpected = true
	parser.String(&o.settings, "s", "settings", "the settings file, in JSON")
	check := flaggy.NewSubcommand("check")
	check.Description = "checks the settings file and runs nothing"
	check.String(&o.settings, "s", "settings", "the settings file, in JSON")
	parser.AttachSubcommand(check, 1)
	if err := parser.ParseArgs(arguments); err != nil {
		fmt.Fprintln(os.Stderr, "eelgrassd:", err)
		os.Exit(exitUsage)
	}
	o.checkOnly = check.Used
	if o.settings == "" {
		fmt.Fprintln(os.Stderr, "eelgrassd: --settings FILE is required; eelgrassd --help tells more")
		os.Exit(exitUsage)
	}
	return o
}
