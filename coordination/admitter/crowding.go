package admitter

import "eelgrasspoint"

// Bounds of what is learned of crowded backend servers.
const (
	// crowdingSamples is how many runs of each kind a judgment needs.
	crowdingSamples = 20
	// crowdingSmoothing is the weight of a run once there are many.
	crowdingSmoothing = 0.05
	// crowdingTolerance is how many times as long runs may take without being held to be slowed.
	crowdingTolerance = 1.25
	// maxCrowdingRoutes bounds the routes whose runs are compared.
	maxCrowdingRoutes = 64
)

// crowding learns whether runs take longer if they begin when the backend server is nearly full.
// It compares runs of one route that began when work took as long as usual.
type crowding struct {
	usual map[string]*average
	// ratio is how many times as long runs take that began in the last slots.
	ratio average
}

// average is a mean of the first values, then smoothed.
type average struct {
	value float64
	count int
}

func (a *average) add(value float64) {
	a.count++
	a.value += max(1/float64(a.count), crowdingSmoothing) * (value - a.value)
}

func (c *crowding) learn(sample *eelgrasspoint.Sample) {
	if !sample.Usual || !sample.Succeeded || sample.Duration <= 0 {
		return
	}
	usual := c.of(sample.Route)
	switch {
	case usual == nil:
	case !sample.Crowded:
		usual.add(float64(sample.Duration))
	case usual.count >= crowdingSamples:
		c.ratio.add(float64(sample.Duration) / usual.value)
	}
}

func (c *crowding) of(route string) *average {
	if c.usual == nil {
		c.usual = make(map[string]*average)
	}
	if c.usual[route] == nil && len(c.usual) < maxCrowdingRoutes {
		c.usual[route] = &average{}
	}
	return c.usual[route]
}

// slows reports whether the last slots cost more than they bring.
func (c *crowding) slows() bool {
	return c.ratio.count >= crowdingSamples && c.ratio.value > crowdingTolerance
}

// FastSlots is how many requests a backend server with the slots runs at full speed.
func FastSlots(slots int) int {
	return max(1, int(eelgrasspoint.TargetUtilization*float64(slots)))
}
