package runner

import (
	"eelgrasspoint"
	"eelgrasspoint/state/loader"
	"eelgrasspoint/state/reloader"
)

// Reload notes changed settings. Addresses and places hold until the next start; the rest is
// read by the parts that use it when they need it.
func (r *Runner) Reload(settings *loader.Settings, fields []string) {
	r.record(eelgrasspoint.EventSettingsReloaded, reloader.Describe(fields))
	r.tunables.Store(settings)
}

// RejectSettings notes a settings file that is wrong; the last settings stay in force.
func (r *Runner) RejectSettings(err error) {
	r.record(eelgrasspoint.EventBadInput, "settings: "+err.Error())
}
