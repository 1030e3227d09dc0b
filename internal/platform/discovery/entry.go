package discovery

import (
	"fmt"
	"math"

	"github.com/tidwall/gjson"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/starttimes"
	"plumspindle/scheduler"
)

// maxStartedMillis bounds a timestamp so that it can be converted to microseconds, and be added to another.
const maxStartedMillis = math.MaxInt64 / 2000

// Entry is one endpoint, as the list has it.
type Entry struct {
	ID         scheduler.EndpointID
	Name       string
	Addr       string
	Zone, Kind string
	Cell       scheduler.CellID
	State      scheduler.EndpointState
	StartedAt  scheduler.Micros // on this process's clock; 0: long ago
	start      starttimes.Start
}

var states = map[string]scheduler.EndpointState{
	"SERVING":  scheduler.Ready,
	"DRAINING": scheduler.Draining,
	"DELETED":  scheduler.Removed,
}

// list is one message: the complete list, or what has changed in it.
type list struct {
	version  uint64
	complete bool
	servers  []gjson.Result
}

func parseList(data []byte) (list, error) {
	message := gjson.ParseBytes(data)
	servers := message.Get("servers")
	if !gjson.ValidBytes(data) || !servers.IsArray() {
		return list{}, fmt.Errorf("%w: %.60q", ErrMalformedList, data)
	}
	return list{
		version:  message.Get("version").Uint(),
		complete: message.Get("full").Bool(),
		servers:  servers.Array(),
	}, nil
}

// skew is by how much the list's clock is fast.
func (l *list) skew(now eventloop.Micros) eventloop.Micros {
	var timestamps []eventloop.Micros
	for _, server := range l.servers {
		timestamps = append(timestamps, timestampOf(server))
	}
	return starttimes.ClockSkew(now, timestamps...)
}

// timestampOf is when an entry says that its endpoint started, on the list's clock.
func timestampOf(server gjson.Result) eventloop.Micros {
	millis := min(server.Get("started_ms").Int(), maxStartedMillis)
	return eventloop.Micros(millis) * eventloop.Millisecond
}

// parseEntry reads what an entry says by itself: all but ID and start. An unknown state counts as draining, as the
// endpoint is not known to serve; stateKnown is false then.
func parseEntry(server gjson.Result) (entry Entry, stateKnown bool, err error) {
	name := server.Get("id").String()
	if name == "" {
		return Entry{}, false, fmt.Errorf("%w in %.80q", ErrNoID, server.Raw)
	}
	cell := server.Get("cell").Int()
	if cell < 0 || cell > math.MaxUint16 {
		return Entry{}, false, &CellError{Endpoint: name, Cell: cell}
	}
	state, stateKnown := states[server.Get("state").String()]
	if !stateKnown {
		state = scheduler.Draining
	}
	return Entry{
		Name:  name,
		Addr:  server.Get("addr").String(),
		Zone:  server.Get("zone").String(),
		Kind:  server.Get("kind").String(),
		Cell:  scheduler.CellID(cell),
		State: state,
	}, stateKnown, nil
}
