// Package reloader reloads the settings file on a signal or after a change of the file.
package reloader

import (
	"context"
	"os"
	"reflect"
	"strings"
	"time"

	"eelgrasspoint/state/loader"
)

// CheckInterval is the interval at which the modification time of the file is checked, since the
// file may change without a signal.
const CheckInterval = 2 * time.Second

// Reloader watches one settings file. Run must not be called more than once at a time.
type Reloader struct {
	path       string
	current    *loader.Settings
	modifiedAt time.Time
}

// New returns a reloader of the file at path, from which the current settings were loaded.
func New(path string, current *loader.Settings) *Reloader {
	return &Reloader{path: path, current: current, modifiedAt: modificationTime(path)}
}

// Run reloads the file on each signal and, within CheckInterval, after each change of its
// modification time, until the context ends. It calls apply with the new settings and the names of
// the changed fields. If the file is missing or invalid, Run calls reject with the error and keeps
// the current settings.
func (r *Reloader) Run(ctx context.Context, signals <-chan os.Signal, apply func(settings *loader.Settings, fields []string), reject func(error)) {
	ticker := time.NewTicker(CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
			if modifiedAt := modificationTime(r.path); modifiedAt.Equal(r.modifiedAt) {
				continue
			}
		}
		r.reload(apply, reject)
	}
}

func (r *Reloader) reload(apply func(settings *loader.Settings, fields []string), reject func(error)) {
	r.modifiedAt = modificationTime(r.path)
	settings, err := loader.Load(r.path)
	if err != nil {
		reject(err)
		return
	}
	fields := changedFields(r.current, settings)
	r.current = settings
	apply(settings, fields)
}

// modificationTime returns the modification time of the file, or the zero time if the file can't be
// examined, so that a file that was removed counts as changed once.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// changedFields returns the names of the fields that differ between the settings.
func changedFields(old, updated *loader.Settings) []string {
	var names []string
	oldValue, newValue := reflect.ValueOf(*old), reflect.ValueOf(*updated)
	for i := range oldValue.NumField() {
		if !reflect.DeepEqual(oldValue.Field(i).Interface(), newValue.Field(i).Interface()) {
			names = append(names, oldValue.Type().Field(i).Name)
		}
	}
	return names
}

// DescribeChanges formats the names of changed fields for a log detail.
func DescribeChanges(fields []string) string {
	if len(fields) == 0 {
		return "no settings changed"
	}
	return strings.Join(fields, ", ")
}
