// Package reloader reads the settings file again when it changes.
package reloader

import (
	"context"
	"os"
	"reflect"
	"strings"
	"time"

	"eelgrasspoint/state/loader"
)

// CheckInterval is how often the file is looked at, since it may change without a signal.
const CheckInterval = 2 * time.Second

// Reloader watches one settings file. Run uses it from one goroutine.
type Reloader struct {
	path    string
	current *loader.Settings
	changed time.Time
}

// New returns a reloader of the file that the settings were read from.
func New(path string, current *loader.Settings) *Reloader {
	return &Reloader{path: path, current: current, changed: modified(path)}
}

// Run calls apply with new settings, and with the names of the fields that differ, until the
// context ends. A file that is wrong goes to reject and changes nothing.
func (r *Reloader) Run(ctx context.Context, signals <-chan os.Signal, apply func(settings *loader.Settings, fields []string), reject func(error)) {
	ticker := time.NewTicker(CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
			if at := modified(r.path); at.Equal(r.changed) {
				continue
			}
		}
		r.reload(apply, reject)
	}
}

func (r *Reloader) reload(apply func(settings *loader.Settings, fields []string), reject func(error)) {
	r.changed = modified(r.path)
	settings, err := loader.Load(r.path)
	if err != nil {
		reject(err)
		return
	}
	fields := differing(r.current, settings)
	r.current = settings
	apply(settings, fields)
}

// modified returns when the file was last written, or zero if it can't be looked at.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// differing names the fields that are not equal.
func differing(a, b *loader.Settings) []string {
	var names []string
	va, vb := reflect.ValueOf(*a), reflect.ValueOf(*b)
	for i := range va.NumField() {
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			names = append(names, va.Type().Field(i).Name)
		}
	}
	return names
}

// DescribeChanges lists the names of changed fields for a log line.
func DescribeChanges(fields []string) string {
	if len(fields) == 0 {
		return "nothing changed"
	}
	return strings.Join(fields, ", ")
}
