package soak

import (
	"math/rand"
	"strconv"
	"syscall"
	"time"

	"plumspindle/internal/testbed/syscallfaults"
)

// Texts of faults that the audit knows.
const (
	cutOffText          = "cut off from the hosts"
	lateText            = "connections come up late"
	discoverySilentText = "discovery silent"
	notRunningText      = "an endpoint does not run"
)

const (
	maxFreeze       = 140 * time.Millisecond // of a dispatcher
	minFaultTime    = 200 * time.Millisecond
	faultTimeSpread = 1800        // ms
	maxReloads      = 4           // in a series
	minUptime       = time.Second // of a dispatcher before it gets a new configuration
	drainsOf        = 3           // one of so many endpoints of a kind may drain
)

// fault is one kind of fault; inject begins it and returns whether it could.
type fault struct {
	name   string
	inject func(r *run, duration time.Duration) bool
}

// stopShare is the share of faults that are planned restarts, beside those that are drawn among all.
const stopShare = 0.12

// stoppedOf says which part of the endpoints of a kind go on while the others are stopped: one of so many.
const stoppedOf = 5

// stopEndpoints stops the processes of most endpoints of a kind for a while. Their machine goes on: it confirms what
// they are sent, and keeps their connections open.
func (r *run) stopEndpoints(kind string, duration time.Duration) bool {
	var ofKind []int
	for _, endpoint := range r.random.Perm(len(r.endpoints)) {
		if r.kindOf(endpoint) == kind {
			ofKind = append(ofKind, endpoint)
		}
	}
	running := (len(ofKind) + stoppedOf - 1) / stoppedOf
	for _, endpoint := range ofKind[running:] {
		r.stopEndpoint(endpoint, duration)
	}
	return len(ofKind) > running
}

// stopEndpoint stops the process of an endpoint for a while.
func (r *run) stopEndpoint(endpoint int, duration time.Duration) {
	r.recordFault(Event{Text: notRunningText, Endpoint: endpointName(endpoint)}, duration)
	process := r.endpoints[endpoint].command.Process
	_ = process.Signal(syscall.SIGSTOP) // it may have been killed
	time.AfterFunc(duration, func() { _ = process.Signal(syscall.SIGCONT) })
}

var plannedRestart = fault{"a dispatcher is stopped and started again", stopDispatcher}

// faults are all kinds of fault; their names are part of a report.
var faults = []fault{
	plannedRestart,
	{"a dispatcher is killed and started again", killDispatcher},
	{"a new configuration moves discovery", moveDiscovery},
	{"a dispatcher is held up", freezeDispatcher},
	{"a dispatcher has no descriptors", takeDescriptors},
	{"idle clients crowd in", func(r *run, duration time.Duration) bool {
		pick(r.random, r.clients).order("%s %s %s", orderCrowd, pick(r.random, r.dispatchers).address, duration)
		return true
	}},
	{"a dispatcher is cut off from the hosts", func(r *run, duration time.Duration) bool {
		return r.disturbProxy(cutOffText, orderSilent, duration)
	}},
	{"connections to hosts come up late", func(r *run, duration time.Duration) bool {
		return r.disturbProxy(lateText, orderLate, duration)
	}},
	{"bytes come in pieces", func(r *run, duration time.Duration) bool {
		pick(r.random, r.proxies).order("%s %s", orderPieces, duration)
		return true
	}},
	{"connections to hosts are reset", func(r *run, _ time.Duration) bool {
		pick(r.random, r.proxies).order(orderReset)
		return true
	}},
	{"a host hangs", func(r *run, duration time.Duration) bool {
		pick(r.random, r.endpoints).order("%s %s", orderSilent, duration)
		return true
	}},
	{"hosts are stopped", func(r *run, duration time.Duration) bool {
		return r.stopEndpoints(pick(r.random, []string{prefillKind, decodeKind}), duration)
	}},
	{"a host declines all", func(r *run, duration time.Duration) bool {
		pick(r.random, r.endpoints).order("%s %s", orderDecline, duration)
		return true
	}},
	{"a host is killed and started again", killEndpoint},
	{"a host drains", drainEndpoint},
	{"discovery is silent", func(r *run, duration time.Duration) bool {
		r.recordFault(Event{Text: discoverySilentText}, duration)
		pick(r.random, r.agents).order("%s %s", orderSilent, duration)
		return true
	}},
	{"watches fall silent", func(r *run, _ time.Duration) bool {
		pick(r.random, r.agents).order(orderMute)
		return true
	}},
	{"watches are reset", func(r *run, _ time.Duration) bool {
		pick(r.random, r.agents).order(orderReset)
		return true
	}},
}

func pick[T any](random *rand.Rand, list []T) T { return list[random.Intn(len(list))] }

// injectFaults draws faults until the run's time is over; two or three overlap.
func (r *run) injectFaults() {
	for end := now() + r.Duration.Microseconds(); now() < end; {
		time.Sleep(r.MeanFaultInterval/2 + time.Duration(r.random.Int63n(int64(r.MeanFaultInterval))))
		next := pick(r.random, faults)
		if r.random.Float64() < stopShare {
			next = plannedRestart
		}
		duration := minFaultTime + time.Duration(r.random.Intn(faultTimeSpread))*time.Millisecond
		if next.inject(r, duration) {
			r.report.Faults[next.name]++
		}
	}
}

// recordFault records a fault for the audit.
func (r *run) recordFault(event Event, duration time.Duration) {
	event.Kind, event.Value = FaultBegan, duration.Microseconds()
	r.record.add(event)
}

// disturbProxy disturbs one dispatcher's connections to the endpoints.
func (r *run) disturbProxy(text, order string, duration time.Duration) bool {
	number := r.random.Intn(len(r.proxies))
	r.recordFault(Event{Text: text, Dispatcher: strconv.Itoa(number + 1)}, duration)
	r.proxies[number].order("%s %s", order, duration)
	return true
}

// lockDispatcher draws a dispatcher and locks it; it returns nil for one that is being stopped.
func (r *run) lockDispatcher() *dispatcher {
	d := pick(r.random, r.dispatchers)
	if !d.mu.TryLock() {
		return nil
	}
	return d
}

func stopDispatcher(r *run, _ time.Duration) bool {
	d := r.lockDispatcher()
	if d == nil {
		return false
	}
	d.mu.Unlock()
	if r.Crowd {
		pick(r.random, r.clients).order("%s %s %s", orderCrowd, d.address, r.killAfter())
	}
	later := r.drawLaterSignals()
	r.stops.Go(func() { r.stop(d, later) })
	return true
}

func killDispatcher(r *run, _ time.Duration) bool {
	d := r.lockDispatcher()
	if d == nil {
		return false
	}
	defer d.mu.Unlock()
	if r.random.Intn(2) == 0 { // planned restarts are more common
		return false
	}
	r.kill(d)
	r.restart(d)
	return true
}

func moveDiscovery(r *run, _ time.Duration) bool {
	d := r.lockDispatcher()
	if d == nil {
		return false
	}
	defer d.mu.Unlock()
	if now()-d.startedAt < minUptime.Microseconds() {
		return false
	}
	for range 1 + r.random.Intn(maxReloads) {
		r.agentOf[d.number] = 1 - r.agentOf[d.number]
		if err := r.writeConfig(d); err != nil {
			return false
		}
		d.signal(syscall.SIGHUP)
	}
	return true
}

func freezeDispatcher(r *run, _ time.Duration) bool {
	d := r.lockDispatcher()
	if d == nil {
		return false
	}
	frozen := d.process.command.Process
	d.mu.Unlock()
	_ = frozen.Signal(syscall.SIGSTOP) // it may have ended already
	time.Sleep(time.Duration(r.random.Int63n(int64(maxFreeze))))
	_ = frozen.Signal(syscall.SIGCONT)
	return true
}

// takeDescriptors leaves a dispatcher only the descriptors that it has open, for a while.
func takeDescriptors(r *run, duration time.Duration) bool {
	d := r.lockDispatcher()
	if d == nil {
		return false
	}
	pid := d.process.command.Process.Pid
	d.mu.Unlock()
	if err := syscallfaults.NoDescriptors(pid); err != nil {
		return false
	}
	time.AfterFunc(duration, func() { _ = syscallfaults.LimitDescriptors(pid, descriptors) }) // it may have ended by then
	return true
}

func killEndpoint(r *run, _ time.Duration) bool {
	endpoint := r.random.Intn(len(r.endpoints))
	return !r.drained[endpoint] && r.restartEndpoint(endpoint) == nil
}

func drainEndpoint(r *run, _ time.Duration) bool {
	endpoint := r.random.Intn(len(r.endpoints))
	kind := r.kindOf(endpoint)
	ofKind := r.Decodes
	if kind == prefillKind {
		ofKind = r.Prefills
	}
	if r.drained[endpoint] || drainsOf*(r.drains[kind]+1) > ofKind {
		return false
	}
	r.drained[endpoint] = true
	r.drains[kind]++
	r.publish(endpoint, drainingState)
	return true
}
