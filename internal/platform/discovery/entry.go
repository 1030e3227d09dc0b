package discovery

import (
	"fmt"
	"math"

	"github.com/tidwall/gjson"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/jsonsyntax"
	"plumspindle/internal/starttimes"
	"plumspindle/scheduler"
)

// maxStartedMillis bounds a timestamp so that neither its conversion to microseconds nor the sum of two timestamps
// overflows.
const maxStartedMillis = math.MaxInt64 / 2000

// Entry is an endpoint as discovery lists it.
type Entry struct {
	ID         scheduler.EndpointID
	Name       string
	Addr       string
	Zone, Kind string
	Cell       scheduler.CellID
	State      scheduler.EndpointState
	Weight     float64          // 0 if it is not listed
	StartedAt  scheduler.Micros // on this process's clock; 0 for a start long ago
	start      starttimes.Start // StartedAt together with the listed timestamp
}

// statesByName maps the names of states in the platform's protocol to the scheduler's states.
var statesByName = map[string]scheduler.EndpointState{
	"SERVING":  scheduler.Ready,
	"DRAINING": scheduler.Draining,
	"DELETED":  scheduler.Removed,
}

// list is one message from discovery: the complete list of endpoints, or the changes to it.
type list struct {
	version  uint64
	complete bool
	servers  []gjson.Result
}

func parseList(data []byte) (list, error) {
	message := gjson.ParseBytes(data)
	servers := message.Get("servers")
	if !jsonsyntax.Valid(data) || !servers.IsArray() {
		return list{}, fmt.Errorf("%w: %.60q", ErrMalformedList, data)
	}
	return list{
		version:  message.Get("version").Uint(),
		complete: message.Get("full").Bool(),
		servers:  servers.Array(),
	}, nil
}

// skew estimates how far the clock of the list's timestamps is ahead of this process's clock.
func (l *list) skew(now eventloop.Micros) eventloop.Micros {
	var timestamps []eventloop.Micros
	for _, server := range l.servers {
		timestamps = append(timestamps, timestampOf(server))
	}
	return starttimes.ClockSkew(now, timestamps...)
}

// timestampOf returns the start time in an endpoint's entry, on the clock of the list.
func timestampOf(server gjson.Result) eventloop.Micros {
	millis := min(server.Get("started_ms").Int(), maxStartedMillis)
	return eventloop.Micros(millis) * eventloop.Millisecond
}

// weightOf returns the weight in an endpoint's entry, or 0 if there is no finite weight above 0.
func weightOf(server gjson.Result) float64 {
	weight := server.Get("weight")
	if weight.Type != gjson.Number || weight.Num <= 0 || math.IsInf(weight.Num, 0) {
		return 0
	}
	return weight.Num
}

// parseEntry decodes an entry, except for ID and start time, which depend on earlier lists. It treats an unknown state
// as draining, because the endpoint may not accept new requests. In this case stateKnown is false.
func parseEntry(server gjson.Result) (entry Entry, stateKnown bool, err error) {
	name := server.Get("id").String()
	if name == "" {
		return Entry{}, false, fmt.Errorf("%w in %.80q", ErrNoID, server.Raw)
	}
	cell := server.Get("cell").Int()
	if cell < 0 || cell > math.MaxUint16 {
		return Entry{}, false, &CellError{Endpoint: name, Cell: cell}
	}
	state, stateKnown := statesByName[server.Get("state").String()]
	if !stateKnown {
		state = scheduler.Draining
	}
	return Entry{
		Name:   name,
		Addr:   server.Get("addr").String(),
		Zone:   server.Get("zone").String(),
		Kind:   server.Get("kind").String(),
		Cell:   scheduler.CellID(cell),
		State:  state,
		Weight: weightOf(server),
	}, stateKnown, nil
}
