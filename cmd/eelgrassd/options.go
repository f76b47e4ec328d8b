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

// options holds the parsed command line.
type options struct {
	settings  string
	checkOnly bool
}

func parseOptions(arguments []string) options {
	var o options
	parser := flaggy.NewParser("eelgrassd")
	parser.Description = "runs a load balancer node beside a backend server"
	parser.ShowHelpOnUnexpected = true
	parser.String(&o.settings, "s", "settings", "settings file, in JSON")
	check := flaggy.NewSubcommand("check")
	check.Description = "checks the settings file and exits"
	check.String(&o.settings, "s", "settings", "settings file, in JSON")
	parser.AttachSubcommand(check, 1)
	if err := parser.ParseArgs(arguments); err != nil {
		fmt.Fprintln(os.Stderr, "eelgrassd:", err)
		os.Exit(exitUsage)
	}
	o.checkOnly = check.Used
	if o.settings == "" {
		fmt.Fprintln(os.Stderr, "eelgrassd: --settings FILE is required; see eelgrassd --help")
		os.Exit(exitUsage)
	}
	return o
}
