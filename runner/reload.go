package runner

import (
	"fmt"
	"slices"

	"eelgrasspoint"
	"eelgrasspoint/state/loader"
	"eelgrasspoint/state/reloader"
)

// reloadableSettings take effect on a running node. All others need a restart, among them the node's
// name, region, availability zone, addresses and Contract.
var reloadableSettings = []string{"StopTimeout", "DrainTimeout", "RetryBudget", "ColdOvershoot"}

// ApplySettings applies the reloadable settings. It records the names of all changed settings and the
// names of those that need a restart.
func (r *Runner) ApplySettings(settings *loader.Settings, changed []string) {
	r.latestSettings.Store(settings)
	r.retrier.SetLimits(r.retryLimits())
	r.setColdRateLimit(&r.holder.Load().Configuration.Document)
	var needRestart []string
	for _, name := range changed {
		if !slices.Contains(reloadableSettings, name) {
			needRestart = append(needRestart, name)
		}
	}
	detail := reloader.DescribeChanges(changed)
	if len(needRestart) > 0 {
		detail += fmt.Sprintf("; effective after a restart: %s", reloader.DescribeChanges(needRestart))
	}
	r.record(eelgrasspoint.EventSettingsReloaded, detail)
}

// RejectSettings records that the settings file is missing, unreadable or invalid. The last valid
// settings stay in force.
func (r *Runner) RejectSettings(err error) {
	r.record(eelgrasspoint.EventBadInput, "settings rejected: "+err.Error())
}
