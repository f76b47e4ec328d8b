package admitter

import "eelgrasspoint"

// Bounds of the saturation detector.
const (
	// minSaturationSamples is the number of runs of each kind that a comparison needs.
	minSaturationSamples = 20
	// minSampleWeight is the least weight of a new value in an average.
	minSampleWeight = 0.05
	// maxSlowdown is the ratio of durations up to which runs in the last slots do not count as slower.
	maxSlowdown = 1.25
	// maxComparedRoutes bounds the routes that have a baseline.
	maxComparedRoutes = 64
)

// saturationDetector detects whether runs take longer if they start in one of the last slots of
// the backend server. It compares runs of the same route that started while the backend server ran
// at its usual speed.
type saturationDetector struct {
	// baselines holds, by route, the average duration of runs that started in the other slots.
	baselines map[string]*average
	// slowdown is the average duration of runs that started in the last slots, as a multiple of the
	// baseline.
	slowdown average
}

// average is the mean of its first values. It becomes an EWMA when 1/count falls below
// minSampleWeight.
type average struct {
	value float64
	count int
}

func (a *average) add(value float64) {
	a.count++
	a.value += max(1/float64(a.count), minSampleWeight) * (value - a.value)
}

func (d *saturationDetector) observe(sample *eelgrasspoint.Sample) {
	if !sample.Usual || !sample.Succeeded || sample.Duration <= 0 {
		return
	}
	baseline := d.baseline(sample.Route)
	switch {
	case baseline == nil:
	case !sample.Crowded:
		baseline.add(float64(sample.Duration))
	case baseline.count >= minSaturationSamples:
		d.slowdown.add(float64(sample.Duration) / baseline.value)
	}
}

// baseline returns the baseline of the route, new if there is none yet, or nil if maxComparedRoutes
// other routes have one.
func (d *saturationDetector) baseline(route string) *average {
	if d.baselines == nil {
		d.baselines = make(map[string]*average)
	}
	if d.baselines[route] == nil && len(d.baselines) < maxComparedRoutes {
		d.baselines[route] = &average{}
	}
	return d.baselines[route]
}

// lastSlotsSlow reports whether runs in the last slots are so much slower that using these slots
// costs more than it gains.
func (d *saturationDetector) lastSlotsSlow() bool {
	return d.slowdown.count >= minSaturationSamples && d.slowdown.value > maxSlowdown
}

// FastSlots returns how many requests a backend server with the given slots runs at full speed, at
// least one. The slots above that number are its last slots.
func FastSlots(slots int) int {
	return max(1, int(eelgrasspoint.TargetUtilization*float64(slots)))
}
