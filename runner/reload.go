package runner

import (
	"fmt"
	"slices"

	"eelgrasspoint"
	"eelgrasspoint/state/loader"
	"eelgrasspoint/state/reloader"
)

// reloadable are the settings that a running node takes over. The others name the node, its
// places, addresses and contracts.
var reloadable = []string{"StopTimeout", "DrainTimeout", "RetryBudget", "ColdOvershoot"}

// ApplySettings applies the changed settings that may change while the node runs, and records the
// others.
func (r *Runner) ApplySettings(settings *loader.Settings, fields []string) {
	r.tunable.Store(settings)
	r.retrier.SetLimits(r.retryLimits())
	r.setColdLimit(&r.holder.Load().Configuration.Document)
	var later []string
	for _, field := range fields {
		if !slices.Contains(reloadable, field) {
			later = append(later, field)
		}
	}
	detail := reloader.DescribeChanges(fields)
	if len(later) > 0 {
		detail += fmt.Sprintf("; from the next start: %s", reloader.DescribeChanges(later))
	}
	r.record(eelgrasspoint.EventSettingsReloaded, detail)
}

// RejectSettings notes a settings file that is wrong; the last settings stay in force.
func (r *Runner) RejectSettings(err error) {
	r.record(eelgrasspoint.EventBadInput, "settings: "+err.Error())
}
