package runner

import (
	"eelgrasspoint"
	"eelgrasspoint/state/loader"
	"eelgrasspoint/state/reloader"
)

// Reload notes changed settings, which hold from the next start.
func (r *Runner) Reload(_ *loader.Settings, fields []string) {
	r.record(eelgrasspoint.EventSettingsReloaded, reloader.Describe(fields))
}

// RejectSettings notes a settings file that is wrong; the last settings stay in force.
func (r *Runner) RejectSettings(err error) {
	r.record(eelgrasspoint.EventBadInput, "settings: "+err.Error())
}
