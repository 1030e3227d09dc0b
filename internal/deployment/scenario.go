package deployment

import (
	"slices"
	"strings"

	"plumspindle/internal/deployment/pb"
)

const (
	maxScenarioSeconds = 86400
	maxScenarioRate    = 10000 // requests per second
)

// ReadScenario parses and validates a scenario. name identifies the text in errors, and faultKinds are the kinds of
// faults that can be injected. Every returned error is an *InvalidError.
func ReadScenario(name string, text []byte, faultKinds []string) (*pb.Day, error) {
	scenario := &pb.Day{}
	return scenario, read(name, text, scenario, func(v *validator) { v.checkScenario(scenario, faultKinds) })
}

func (v *validator) checkScenario(scenario *pb.Day, faultKinds []string) {
	if scenario.Seconds == 0 || scenario.Seconds > maxScenarioSeconds {
		v.fail("seconds", "must be from 1 to %d", maxScenarioSeconds)
	}
	if !(scenario.Rate > 0 && scenario.Rate <= maxScenarioRate) {
		v.fail("rate", "must be above 0 and at most %d requests per second", maxScenarioRate)
	}
	for i, fault := range scenario.Troubles {
		path := elementPath("troubles", i)
		if !slices.Contains(faultKinds, fault.Kind) {
			v.fail(path+".kind", "there is no trouble %q; known are %s", fault.Kind, strings.Join(faultKinds, ", "))
		}
		if fault.AtMs >= scenario.Seconds*1000 {
			v.fail(path+".at_ms", "must be before the end of the scenario")
		}
		if !(fault.Share >= 0 && fault.Share <= 1) {
			v.fail(path+".share", "must be a share from 0 to 1")
		}
	}
}
