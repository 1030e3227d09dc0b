package scenarios

import (
	"fmt"
	"maps"
	"os"
	"slices"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
)

// Duration and load of the built-in scenarios.
const (
	builtinSeconds         = 16
	combinedFaultsScenario = "bad"
	combinedFaultsSeconds  = 24
	builtinRate            = 22 // chat requests per second
)

// builtinFaults are the faults of the built-in scenarios, by scenario name: one scenario for each kind of fault that
// works over sockets except "descriptors", one without faults and one that combines faults.
var builtinFaults = map[string]string{
	"quiet":       ``,
	"crash":       `troubles { at_ms: 4000 kind: "crash" share: 0.24 for_ms: 4000 }`,
	"vanish":      `troubles { at_ms: 4000 kind: "vanish" share: 0.2 for_ms: 6000 }`,
	"hang":        `troubles { at_ms: 4000 kind: "hang" share: 0.19 for_ms: 6000 }`,
	"slow":        `troubles { at_ms: 4000 kind: "slow" share: 0.25 factor: 5 for_ms: 7000 }`,
	"fast_errors": `troubles { at_ms: 4000 kind: "fast_errors" share: 0.18 factor: 0.8 for_ms: 7000 }`,
	"pauses": `
		troubles { at_ms: 4000 kind: "pauses" share: 0.3 for_ms: 900 }
		troubles { at_ms: 9000 kind: "pauses" share: 0.3 for_ms: 2500 }`,
	"flush":    `troubles { at_ms: 6000 kind: "flush" share: 0.9 }`,
	"zone_cut": `troubles { at_ms: 4000 kind: "zone_cut" for_ms: 6000 }`,
	"balancer_crash": `
		troubles { at_ms: 4000 kind: "balancer_crash" share: 0.45 for_ms: 2000 }
		troubles { at_ms: 11000 kind: "balancer_crash" share: 0.3 for_ms: 1500 }`,
	"burst":          `troubles { at_ms: 5000 kind: "burst" factor: 2.5 for_ms: 5000 }`,
	"tenant_burst":   `troubles { at_ms: 5000 kind: "tenant_burst" factor: 5 for_ms: 6000 }`,
	"mass_restart":   `troubles { at_ms: 5000 kind: "mass_restart" host_kind: "prefill" share: 1 for_ms: 1500 }`,
	"neighbour":      `troubles { at_ms: 4000 kind: "neighbour" share: 0.3 factor: 2 for_ms: 8000 }`,
	"handshake_slow": `troubles { at_ms: 4000 kind: "handshake_slow" share: 1 factor: 150 for_ms: 6000 }`,
	"give_up":        `troubles { at_ms: 4000 kind: "give_up" factor: 0.15 for_ms: 8000 }`,
	"report_late":    `troubles { at_ms: 2000 kind: "report_late" share: 1 factor: 5 for_ms: 12000 }`,
	"throttle":       `troubles { at_ms: 4000 kind: "throttle" share: 0.4 for_ms: 7000 }`,
	"drain": `
		troubles { at_ms: 4000 kind: "drain" share: 0.2 for_ms: 3000 }
		troubles { at_ms: 8000 kind: "drain" share: 0.2 for_ms: 3000 }`,
	combinedFaultsScenario: `
		troubles { at_ms: 3000 kind: "crash" share: 0.15 for_ms: 3000 }
		troubles { at_ms: 5000 kind: "balancer_crash" share: 0.34 for_ms: 1500 }
		troubles { at_ms: 6000 kind: "fast_errors" share: 0.1 factor: 0.7 for_ms: 5000 }
		troubles { at_ms: 8000 kind: "pauses" share: 0.2 for_ms: 1200 }
		troubles { at_ms: 9000 kind: "burst" factor: 1.8 for_ms: 4000 }
		troubles { at_ms: 11000 kind: "hang" share: 0.1 for_ms: 4000 }
		troubles { at_ms: 12000 kind: "drain" share: 0.1 for_ms: 2000 }
		troubles { at_ms: 13000 kind: "zone_cut" for_ms: 2500 }
		troubles { at_ms: 17000 kind: "balancer_crash" share: 0.34 for_ms: 1000 }
		troubles { at_ms: 18000 kind: "vanish" share: 0.1 for_ms: 3000 }`,
}

// Names returns the sorted names of the built-in scenarios.
func Names() []string { return slices.Sorted(maps.Keys(builtinFaults)) }

// Find returns the built-in scenario with the name, or else reads a scenario from the file with the name.
func Find(name string) (*pb.Day, error) {
	faults, known := builtinFaults[name]
	if known {
		seconds := builtinSeconds
		if name == combinedFaultsScenario {
			seconds = combinedFaultsSeconds
		}
		text := fmt.Sprintf("name: %q seconds: %d rate: %d\n%s", name, seconds, builtinRate, faults)
		return ReadScript(name, []byte(text))
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("neither a built-in scenario nor a readable file: %w", err)
	}
	return ReadScript(name, text)
}

// ReadScript parses the script of a scenario.
func ReadScript(name string, text []byte) (*pb.Day, error) {
	return deployment.ReadScenario(name, text, FaultKinds())
}
