package main

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/integrii/flaggy"
)

// Exit statuses, part of the command-line interface.
const (
	exitOK = 0
	// exitFailed is also the status of diff if there are differences.
	exitFailed = 1
	exitUsage  = 2
	// exitUnknown is the status if it is unknown whether the change was made.
	exitUnknown = 3
)

// Defaults of the command line.
const (
	defaultWaitTime  = 15 * time.Second
	defaultMaxEvents = 200
)

// suggestionDistanceLimit bounds suggestions: a verb or name is suggested only if its edit distance from
// the given word is below the limit.
const suggestionDistanceLimit = 3

// options holds the parsed and checked command line. The verbs read it instead of the flags.
type options struct {
	node   netip.AddrPort
	output string
	verb   string
	// object is the first positional argument: a kind of definition, out or in, a shell or the
	// identifier of the request to explain.
	object           string
	name             string
	file             string
	changeID         string
	expectedRevision uint64
	force            bool
	dryRun           bool
	wait             bool
	waitTime         time.Duration
	service          string
	zone             string
	// requestID is the filter of timeline.
	requestID string
	maxEvents int
	follow    bool
	listen    netip.AddrPort
}

// verb describes a subcommand and the arguments it requires. The verb completion is listed for checks and
// help only: flaggy runs it, and session.run has no action for it.
type verb struct {
	name           string
	description    string
	objects        []string
	needsNode      bool
	needsFile      bool
	needsName      bool
	needsRequestID bool
}

var shells = []string{"bash", "zsh", "fish"}

var definitionKinds = []string{"region", "zone", "service", "route", "client", "budget"}

var verbs = []verb{
	{name: "apply", description: "commits the definitions of a file as one change", needsNode: true, needsFile: true},
	{name: "remove", description: "commits the removal of one definition: remove KIND NAME", objects: definitionKinds, needsNode: true, needsName: true},
	{name: "get", description: "prints the configuration in force on the node", needsNode: true},
	{name: "diff", description: "compares a file with the configuration in force", needsNode: true, needsFile: true},
	{name: "validate", description: "checks a complete configuration file without contacting a node", needsFile: true},
	{name: "zone", description: "takes an availability zone out of service or back into service: zone out|in NAME", objects: []string{"out", "in"}, needsNode: true, needsName: true},
	{name: "status", description: "prints zones, nodes and backend servers as known to the node", needsNode: true},
	{name: "rollout", description: "prints the revision in force on every node", needsNode: true},
	{name: "timeline", description: "prints the events of all nodes in order of time", needsNode: true},
	{name: "drain", description: "makes the node accept no new requests for its backend server", needsNode: true},
	{name: "explain", description: "explains the outcome of a request from collected logs: explain REQUEST-ID", needsRequestID: true},
	{name: "console", description: "serves a web page with the live state and the timeline", needsNode: true},
	{name: "completion", description: "prints the completion script of a shell: completion bash|zsh|fish", objects: shells},
}

// parseOptions parses and checks the command line. After a usage error it returns nil and the exit
// status.
func parseOptions(arguments []string, errors io.Writer) (*options, int) {
	o := &options{output: "text", waitTime: defaultWaitTime, maxEvents: defaultMaxEvents}
	raw := rawOptions{listen: "127.0.0.1:7090"}
	if mistake := checkVerb(arguments); mistake != "" {
		return nil, reportUsageError(errors, mistake)
	}
	parser, subcommands := newParser(o, &raw)
	if err := parser.ParseArgs(arguments); err != nil {
		return nil, reportUsageError(errors, err.Error())
	}
	for i, subcommand := range subcommands {
		if subcommand.Used {
			o.verb = verbs[i].name
			if mistake := o.check(verbs[i], raw); mistake != "" {
				return nil, reportUsageError(errors, mistake)
			}
			return o, exitOK
		}
	}
	return nil, reportUsageError(errors, "a verb is required: "+strings.Join(verbNames(), ", "))
}

// rawOptions holds the addresses as they were given; check parses them.
type rawOptions struct{ node, listen string }

func newParser(o *options, raw *rawOptions) (*flaggy.Parser, []*flaggy.Subcommand) {
	parser := flaggy.NewParser("eelgrassctl")
	parser.Description = "operates the load balancer through any of its nodes"
	parser.String(&raw.node, "n", "node", "control address of a node, such as 127.0.0.1:7002")
	parser.String(&o.output, "o", "output", "text or json")
	subcommands := make([]*flaggy.Subcommand, len(verbs))
	for i, v := range verbs {
		subcommands[i] = newSubcommand(v, o, raw)
		parser.AttachSubcommand(subcommands[i], 1)
	}
	return parser, subcommands
}

func newSubcommand(v verb, o *options, raw *rawOptions) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(v.name)
	s.Description = v.description
	if len(v.objects) > 0 {
		s.AddPositionalValue(&o.object, "OBJECT", 1, false, strings.Join(v.objects, ", "))
	}
	if v.needsRequestID {
		s.AddPositionalValue(&o.object, "REQUEST-ID", 1, false, "identifier of the request")
		s.String(&o.file, "f", "file", "file of collected log lines (default: standard input)")
	}
	if v.needsName {
		s.AddPositionalValue(&o.name, "NAME", 2, false, "name of the definition to change")
	}
	if v.needsFile {
		s.String(&o.file, "f", "file", "configuration file, in JSON")
	}
	switch v.name {
	case "apply", "remove", "zone":
		s.String(&o.changeID, "c", "change-id", "identifier of the change; commands with the same identifier make the change at most once (default: a new identifier)")
		s.UInt64(&o.expectedRevision, "r", "expected-revision", "reject the change unless this revision is in force")
		s.Bool(&o.force, "", "force", "with apply and zone: allow taking out the last zone of a service")
		s.Bool(&o.dryRun, "", "dry-run", "check the change at the node and commit nothing")
		s.Bool(&o.wait, "w", "wait", "wait until the change is in force on all nodes")
		s.Duration(&o.waitTime, "", "wait-time", "maximum time that --wait waits")
	case "timeline":
		s.String(&o.service, "s", "service", "only events of the service")
		s.String(&o.zone, "z", "zone", "only events of the availability zone")
		s.String(&o.requestID, "q", "request", "only events of the request with this identifier")
		s.Int(&o.maxEvents, "m", "max", "maximum number of events")
		s.Bool(&o.follow, "", "follow", "keep printing new events")
	case "console":
		s.String(&raw.listen, "l", "listen", "loopback address of the page")
	}
	return s
}

// check parses the addresses and checks the options of the verb. It returns the usage error, or an
// empty string.
func (o *options) check(v verb, raw rawOptions) string {
	var err error
	if v.needsNode {
		if o.node, err = netip.ParseAddrPort(raw.node); err != nil {
			return "--node ADDR:PORT is required: the ControlAddress of any node, such as 127.0.0.1:7002"
		}
	}
	if o.listen, err = netip.ParseAddrPort(raw.listen); err != nil || !o.listen.Addr().IsLoopback() {
		return "--listen must be a loopback address and port, such as 127.0.0.1:7090"
	}
	if o.output != "text" && o.output != "json" {
		return fmt.Sprintf("--output: %q is neither text nor json", o.output)
	}
	if v.needsFile && o.file == "" {
		return v.name + ": --file FILE is required"
	}
	if len(v.objects) > 0 && !slices.Contains(v.objects, o.object) {
		return fmt.Sprintf("%s: %q is not one of %s%s", v.name, o.object, strings.Join(v.objects, ", "), suggestion(o.object, v.objects))
	}
	if v.needsRequestID && o.object == "" {
		return v.name + ": a REQUEST-ID is required"
	}
	if v.needsName && o.name == "" {
		return fmt.Sprintf("%s %s: a NAME is required", v.name, o.object)
	}
	return ""
}

// checkVerb looks for the first word that is neither a flag nor the value of one. If that word is no
// verb, it returns a usage error with a suggestion, else an empty string. It runs before flaggy, which
// stops at an unknown word.
func checkVerb(arguments []string) string {
	for i := 0; i < len(arguments); i++ {
		word := arguments[i]
		if strings.HasPrefix(word, "-") {
			if takesValue(word) {
				i++
			}
			continue
		}
		if slices.Contains(verbNames(), word) {
			return ""
		}
		return fmt.Sprintf("unknown verb %q%s; the verbs are %s", word, suggestion(word, verbNames()), strings.Join(verbNames(), ", "))
	}
	return ""
}

// takesValue reports whether a flag before the verb is followed by its value.
func takesValue(flag string) bool {
	return slices.Contains([]string{"-n", "--node", "-o", "--output"}, flag)
}

// suggestion returns a text that names the known word closest to the given one, or an empty string if
// none is close enough.
func suggestion(word string, known []string) string {
	best, distance := "", suggestionDistanceLimit
	for _, candidate := range known {
		if d := levenshtein.ComputeDistance(word, candidate); d < distance {
			best, distance = candidate, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(" (did you mean %q?)", best)
}

func verbNames() []string {
	names := make([]string, len(verbs))
	for i, v := range verbs {
		names[i] = v.name
	}
	return names
}

func reportUsageError(errors io.Writer, mistake string) int {
	fmt.Fprintf(errors, "eelgrassctl: %s\nsee eelgrassctl --help\n", mistake)
	return exitUsage
}
