package proof

import (
	"eelgrasspoint"
	"eelgrasspoint/standin/platform"
)

var (
	platformDown           = platform.Faults{Down: true}
	platformLosesOneAnswer = platform.Faults{LoseAnswers: 1}
)

func serviceNamed(name string) eelgrasspoint.Service { return eelgrasspoint.Service{Name: name} }
