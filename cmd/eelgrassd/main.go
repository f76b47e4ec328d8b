// Command eelgrassd runs the load balancer's node beside a backend server.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"eelgrasspoint"
	"eelgrasspoint/coordination/limiter"
	"eelgrasspoint/platform"
	"eelgrasspoint/runner"
	"eelgrasspoint/state/connector"
	"eelgrasspoint/state/emitter"
	"eelgrasspoint/state/loader"
	"eelgrasspoint/state/reloader"
	"eelgrasspoint/state/storer"
	"eelgrasspoint/transport/dialer"
	"eelgrasspoint/transport/opener"
)

func main() {
	options := parseOptions(os.Args[1:])
	settings, err := loader.Load(options.settings)
	if err != nil {
		printMistakes(options.settings, err)
		os.Exit(exitFailed)
	}
	if options.checkOnly {
		fmt.Printf("%s: correct\n", options.settings)
		return
	}
	if err := run(options.settings, settings); err != nil {
		fmt.Fprintln(os.Stderr, "eelgrassd:", err)
		os.Exit(exitFailed)
	}
}

func run(path string, settings *loader.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	output := emitter.New(os.Stdout)
	defer output.Close()
	debug.SetMemoryLimit(settings.MemoryBytes() * collectedPercent / 100)
	options := runner.Options{
		Settings:    settings,
		Table:       tableFactory(settings),
		Dial:        (&net.Dialer{KeepAliveConfig: keepAlive}).DialContext,
		Listen:      net.Listen,
		BackendDial: opener.NewWithTimeout(eelgrasspoint.BackendSilenceLimit).DialContext,
		Log:         newLog(settings, output),
		RequestLog:  newLog(settings, output.Requests()),
		Clock:       time.Now,
		Seed:        uint64(time.Now().UnixNano()),
	}
	if settings.Contract == loader.ContractPlatform {
		usePlatformContract(&options)
	}
	node := runner.New(options)
	log.SetFlags(0)
	log.SetOutput(node.ErrorLog())
	watchSettings(ctx, path, settings, node)
	return node.Run(ctx)
}

// collectedPercent is the part of the process's memory above which garbage is collected more often.
const collectedPercent = 75

// watchSettings starts a goroutine that reads the settings file again after a change or SIGHUP. It passes
// valid settings to node.ApplySettings, and the error of invalid ones to node.RejectSettings.
func watchSettings(ctx context.Context, path string, settings *loader.Settings, node *runner.Runner) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go reloader.New(path, settings).Run(ctx, signals, node.ApplySettings, node.RejectSettings)
}

// keepAlive detects dead TCP connections to other nodes and backend servers after 4 s: 1 s idle and three probes, 1 s
// apart, the shortest interval that TCP has.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// usePlatformContract sets the options for the platform's contract: the table of the member rows, the
// source of the configuration, headers, handlers of announcements and readiness, loads from the answers of
// backend servers, and a fixed concurrency limit.
func usePlatformContract(options *runner.Options) {
	settings := options.Settings
	client := newTableClient()
	// Rows and source share a table, so that both know the latest epoch of the store.
	var table *platform.Table
	options.Table = func(count func(call, result string)) eelgrasspoint.Table {
		table = platform.NewTable(settings.Platform, client, count)
		return table
	}
	options.Source = func(wait func() time.Duration) eelgrasspoint.Source {
		return platform.NewSource(table, settings.AvailabilityZones, wait)
	}
	options.Contract = platform.Contract{}
	options.TellsLoad = true
	options.Limiter = limiter.NewFixed(eelgrasspoint.DefaultSlots)
	options.Announcements = platform.AnnouncementHandler
	options.Readiness = platform.ReadinessHandler
}

// maxTableConnections bounds the connections of one HTTP client to the table service.
const maxTableConnections = 4

// tableFactory returns a function that makes the table of the configuration and of the member rows: a
// client of the table service at settings.Platform, or a table in memory if that address is not set. count
// is called with the result of each call to the table service.
func tableFactory(settings *loader.Settings) func(count func(call, result string)) eelgrasspoint.Table {
	return func(count func(call, result string)) eelgrasspoint.Table {
		if !settings.Platform.IsValid() {
			return storer.New()
		}
		return connector.New(settings.Platform, newTableClient(), count)
	}
}

// newTableClient returns an HTTP client of the table service.
func newTableClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:     dialer.New(opener.New(eelgrasspoint.StoreSilenceLimit).DialContext).DialContext,
		MaxConnsPerHost: maxTableConnections, MaxResponseHeaderBytes: eelgrasspoint.MaxAnswerHeaderBytes,
		IdleConnTimeout: eelgrasspoint.StoreSilenceLimit,
	}}
}

func newLog(settings *loader.Settings, output io.Writer) logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(output)
	log.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
		FieldMap:        logrus.FieldMap{logrus.FieldKeyTime: "Time", logrus.FieldKeyLevel: "Level", logrus.FieldKeyMsg: "Detail"},
	})
	// The loader has checked the level.
	level, err := logrus.ParseLevel(settings.LogLevel)
	if err == nil {
		log.SetLevel(level)
	}
	return log.WithField("Node", settings.Name)
}

func printMistakes(path string, err error) {
	var invalid *eelgrasspoint.InvalidError
	if !errors.As(err, &invalid) {
		fmt.Fprintln(os.Stderr, "eelgrassd:", err)
		return
	}
	fmt.Fprintf(os.Stderr, "eelgrassd: mistakes in %s: %d\n", path, len(invalid.Mistakes))
	for _, mistake := range invalid.Mistakes {
		fmt.Fprintf(os.Stderr, "  %s: %s\n", mistake.Path, mistake.Message)
	}
}
