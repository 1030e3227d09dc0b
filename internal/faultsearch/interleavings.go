package faultsearch

import (
	"fmt"
	"hash/fnv"
	"strings"

	"google.golang.org/protobuf/proto"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/scenarios"
)

// Interleavings are what a bounded search over the orders of deliveries found.
type Interleavings struct {
	Days   int // played
	States int // told apart
	Pruned int // choices not followed, as their state had been met at that depth
	Faults []string
}

// smallWorld is two dispatchers, three hosts and a few generations.
func smallWorld() (deployment.Deployment, *pb.Day) {
	d := deployment.Standard()
	d.Zones = d.Zones[:1]
	d.Kinds = d.Kinds[:2]
	d.Fleet.CellsPerZone = 1
	d.Fleet.Groups = []*pb.Fleet_Group{
		{Kind: "prefill", HostsPerZone: 1, ReadTokensPerS: 18000, Slots: 8, Queue: 40, StepUs: 5000},
		{Kind: "decode", HostsPerZone: 2, Slots: 100, Queue: 30, StepUs: 16000}}
	for _, p := range d.Products {
		p.MostTokens = 3
	}
	return d, &pb.Day{Name: "orders", Seconds: 1, Rate: 3, World: &pb.World{Seed: 3, Dispatchers: 2, LatencyUs: 200}}
}

// Explore plays all orders in which the first pieces arrive early or late, depth choices deep, each of them by late µs, with
// troubles on top. A choice whose state was met before at that depth is not followed further; what tells states apart is what the
// dispatchers and hosts have under way, so that two that differ in anything else count as one.
func Explore(depth int, late eventloop.Micros, troubles []*pb.Day_Trouble, told func(o *Interleavings)) (*Interleavings, error) {
	o := &Interleavings{}
	met := map[string]bool{}
	d, script := smallWorld()
	script.Troubles = troubles
	choices := []int{}
	for {
		at, depthNow := 0, depth
		p := &scenarios.Run{Script: proto.Clone(script).(*pb.Day), Deployment: deployment.Deployment{Deployment: proto.Clone(d.Deployment).(*pb.Deployment)},
			Dispatchers: 2, Seed: script.World.Seed}
		p.Delay = func() eventloop.Micros {
			if at >= depthNow {
				return 0
			}
			if at == len(choices) {
				choices = append(choices, 0)
				h := fnv.New64a()
				fmt.Fprint(h, strings.Join(p.Summary(), "\n"))
				state := fmt.Sprint(at, " ", h.Sum64())
				if met[state] {
					o.Pruned++
					depthNow = at // nothing deeper is tried otherwise
				}
				met[state] = true
			}
			at++
			return eventloop.Micros(choices[at-1]) * late
		}
		v, left, _, err := p.RunVirtual(0)
		if err != nil {
			return o, err
		}
		o.Days++
		for i, r := range v.Rules {
			if len(r.Violations) > 0 {
				o.Faults = append(o.Faults, fmt.Sprintf("rule %d: %s (choices %v)", i+1, r.Violations[0].Text, choices))
			}
		}
		if left > 0 {
			o.Faults = append(o.Faults, fmt.Sprintf("left over: %d generations (choices %v)", left, choices))
		}
		o.States = len(met)
		if told != nil {
			told(o)
		}
		// The next one in order: the last choice that can still be made otherwise.
		n := len(choices)
		for n > 0 && choices[n-1] == 1 {
			n--
		}
		if n == 0 {
			return o, nil
		}
		choices = append(choices[:n-1], 1)
	}
}
