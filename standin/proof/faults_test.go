package proof

import "eelgrasspoint/standin/platform"

var (
	platformDown     = platform.Faults{Down: true}
	platformLosesOne = platform.Faults{LoseAnswers: 1}
)
