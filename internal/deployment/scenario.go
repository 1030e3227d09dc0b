package deployment

import (
	"slices"
	"strings"

	"plumspindle/internal/deployment/pb"
)

const (
	maxScenarioSeconds = 86400
	maxScenarioRate    = 10000 // requests a second
)

// ReadScenario reads a scenario from a text; name is what errors call it, and kinds are the faults that can be played.
// An error is an *InvalidError.
func ReadScenario(name string, text []byte, kinds []string) (*pb.Day, error) {
	m := &pb.Day{}
	return m, read(name, text, m, func(v *validator) { v.checkScenario(m, kinds) })
}

func (v *validator) checkScenario(script *pb.Day, kinds []string) {
	if script.Seconds == 0 || script.Seconds > maxScenarioSeconds {
		v.fail("seconds", "must be from 1 to %d", maxScenarioSeconds)
	}
	if !(script.Rate > 0 && script.Rate <= maxScenarioRate) {
		v.fail("rate", "must be above 0 and at most %d generations a second", maxScenarioRate)
	}
	for i, fault := range script.Troubles {
		path := index("troubles", i)
		if !slices.Contains(kinds, fault.Kind) {
			v.fail(path+".kind", "there is no trouble %q; known are %s", fault.Kind, strings.Join(kinds, ", "))
		}
		if fault.AtMs >= script.Seconds*1000 {
			v.fail(path+".at_ms", "lies past the day's end")
		}
		if !(fault.Share >= 0 && fault.Share <= 1) {
			v.fail(path+".share", "must be a share from 0 to 1")
		}
	}
}
