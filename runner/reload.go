package runner

import (
	"fmt"
	"slices"

	"eelgrasspoint"
	"eelgrasspoint/state/loader"
	"eelgrasspoint/state/reloader"
)

// reloadableSettings take effect on a running node. The others need a restart, since they set the node's
// name, region and zone, addresses and contracts.
var reloadableSettings = []string{"StopTimeout", "DrainTimeout", "RetryBudget", "ColdOvershoot"}

// ApplySettings applies the changed settings that are reloadable, and records the names of all changed
// ones and of those that need a restart.
func (r *Runner) ApplySettings(settings *loader.Settings, fields []string) {
	r.latestSettings.Store(settings)
	r.retrier.SetLimits(r.retryLimits())
	r.setColdLimit(&r.holder.Load().Configuration.Document)
	var needRestart []string
	for _, field := range fields {
		if !slices.Contains(reloadableSettings, field) {
			needRestart = append(needRestart, field)
		}
	}
	detail := reloader.DescribeChanges(fields)
	if len(needRestart) > 0 {
		detail += fmt.Sprintf("; effective after a restart: %s", reloader.DescribeChanges(needRestart))
	}
	r.record(eelgrasspoint.EventSettingsReloaded, detail)
}

// RejectSettings records an invalid settings file. The last valid settings stay in force.
func (r *Runner) RejectSettings(err error) {
	r.record(eelgrasspoint.EventBadInput, "invalid settings: "+err.Error())
}
