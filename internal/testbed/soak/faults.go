package soak

import (
	"math/rand"
	"strconv"
	"syscall"
	"time"

	"plumspindle/internal/testbed/syscallfaults"
)

// Texts of the faults that the audit makes allowance for.
const (
	partitionedText     = "partitioned from the endpoints"
	delayedText         = "connections are delayed"
	discoverySilentText = "discovery silent"
	notRunningText      = "an endpoint does not run"
)

const (
	maxFreeze       = 140 * time.Millisecond // of a dispatcher
	minFaultTime    = 200 * time.Millisecond
	faultTimeSpread = 1800        // in ms; limit of the random part of a fault's duration
	maxReloads      = 4           // of a dispatcher's configuration, one directly after the other
	minUptime       = time.Second // of a dispatcher before the dispatcher gets a new configuration
	drainOneIn      = 3           // at most one endpoint in so many of a kind is drained
)

// fault is a kind of fault. Its inject function begins the fault, and returns whether the fault has begun.
type fault struct {
	name   string
	inject func(r *run, duration time.Duration) bool
}

// plannedRestartShare is the share of faults that are planned restarts, on top of those drawn from the list of all
// faults.
const plannedRestartShare = 0.12

// runningOneIn is the share of a kind's endpoints that keep running while the others are stopped: one in so many.
const runningOneIn = 5

// stopEndpoints stops the processes of most endpoints of a kind for a while. Their kernel keeps running, so it still
// acknowledges the data that is sent to them, and keeps their connections open.
func (r *run) stopEndpoints(kind string, duration time.Duration) bool {
	var ofKind []int
	for _, endpoint := range r.random.Perm(len(r.endpoints)) {
		if r.kindOf(endpoint) == kind {
			ofKind = append(ofKind, endpoint)
		}
	}
	running := (len(ofKind) + runningOneIn - 1) / runningOneIn
	for _, endpoint := range ofKind[running:] {
		r.stopEndpoint(endpoint, duration)
	}
	return len(ofKind) > running
}

// stopEndpoint stops the process of an endpoint for a while.
func (r *run) stopEndpoint(endpoint int, duration time.Duration) {
	r.recordFault(Event{Text: notRunningText, Endpoint: endpointName(endpoint)}, duration)
	process := r.endpoints[endpoint].cmd.Process
	_ = process.Signal(syscall.SIGSTOP) // fails if the process has been killed
	time.AfterFunc(duration, func() { _ = process.Signal(syscall.SIGCONT) })
}

var plannedRestart = fault{"a dispatcher is stopped and started again", stopDispatcher}

// faults are all kinds of fault. Their names are part of a report.
var faults = []fault{
	plannedRestart,
	{"a dispatcher is killed and started again", killDispatcher},
	{"a new configuration names another discovery agent", switchDiscoveryAgent},
	{"a dispatcher is frozen", freezeDispatcher},
	{"a dispatcher has no free descriptors", exhaustDescriptors},
	{"idle connections flood a dispatcher", func(r *run, duration time.Duration) bool {
		pick(r.random, r.clients).send("%s %s %s", commandFlood, pick(r.random, r.dispatchers).address, duration)
		return true
	}},
	{"a dispatcher is partitioned from the endpoints", func(r *run, duration time.Duration) bool {
		return r.injectProxyFault(partitionedText, commandSilent, duration)
	}},
	{"connections to endpoints are delayed", func(r *run, duration time.Duration) bool {
		return r.injectProxyFault(delayedText, commandDelay, duration)
	}},
	{"bytes arrive in small fragments", func(r *run, duration time.Duration) bool {
		pick(r.random, r.proxies).send("%s %s", commandFragment, duration)
		return true
	}},
	{"connections to endpoints are reset", func(r *run, _ time.Duration) bool {
		pick(r.random, r.proxies).send(commandReset)
		return true
	}},
	{"an endpoint hangs", func(r *run, duration time.Duration) bool {
		pick(r.random, r.endpoints).send("%s %s", commandSilent, duration)
		return true
	}},
	{"endpoints are stopped", func(r *run, duration time.Duration) bool {
		return r.stopEndpoints(pick(r.random, []string{prefillKind, decodeKind}), duration)
	}},
	{"an endpoint declines all requests", func(r *run, duration time.Duration) bool {
		pick(r.random, r.endpoints).send("%s %s", commandDecline, duration)
		return true
	}},
	{"an endpoint is killed and started again", killEndpoint},
	{"an endpoint drains", drainEndpoint},
	{"discovery is silent", func(r *run, duration time.Duration) bool {
		r.recordFault(Event{Text: discoverySilentText}, duration)
		pick(r.random, r.agents).send("%s %s", commandSilent, duration)
		return true
	}},
	{"watches get no more updates", func(r *run, _ time.Duration) bool {
		pick(r.random, r.agents).send(commandMute)
		return true
	}},
	{"watches are reset", func(r *run, _ time.Duration) bool {
		pick(r.random, r.agents).send(commandReset)
		return true
	}},
}

// pick returns a random element of a list.
func pick[T any](random *rand.Rand, list []T) T { return list[random.Intn(len(list))] }

// injectFaults injects random faults until the run's duration is over. Two or three of them overlap at a time.
func (r *run) injectFaults() {
	for end := now() + r.Duration.Microseconds(); now() < end; {
		time.Sleep(r.MeanFaultInterval/2 + time.Duration(r.random.Int63n(int64(r.MeanFaultInterval))))
		next := pick(r.random, faults)
		if r.random.Float64() < plannedRestartShare {
			next = plannedRestart
		}
		duration := minFaultTime + time.Duration(r.random.Intn(faultTimeSpread))*time.Millisecond
		if next.inject(r, duration) {
			r.report.Faults[next.name]++
		}
	}
}

// recordFault records the beginning of a fault for the audit.
func (r *run) recordFault(event Event, duration time.Duration) {
	event.Kind, event.Value = FaultBegan, duration.Microseconds()
	r.record.add(event)
}

// injectProxyFault sends a command to the proxy between a random dispatcher and the endpoints, and records the fault.
func (r *run) injectProxyFault(text, command string, duration time.Duration) bool {
	number := r.random.Intn(len(r.proxies))
	r.recordFault(Event{Text: text, Dispatcher: strconv.Itoa(number + 1)}, duration)
	r.proxies[number].send("%s %s", command, duration)
	return true
}

// lockDispatcher locks a random dispatcher. It returns nil if that dispatcher is being stopped.
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
	if r.FloodOnStop {
		pick(r.random, r.clients).send("%s %s %s", commandFlood, d.address, r.killAfter())
	}
	followUps := r.drawFollowUpSignals()
	r.pendingStops.Go(func() { r.stopAndRestart(d, followUps) })
	return true
}

func killDispatcher(r *run, _ time.Duration) bool {
	d := r.lockDispatcher()
	if d == nil {
		return false
	}
	defer d.mu.Unlock()
	if r.random.Intn(2) == 0 { // planned restarts are to be more common
		return false
	}
	r.kill(d)
	r.restart(d)
	return true
}

func switchDiscoveryAgent(r *run, _ time.Duration) bool {
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
	frozen := d.process.cmd.Process
	d.mu.Unlock()
	_ = frozen.Signal(syscall.SIGSTOP) // fails if the process has ended already
	time.Sleep(time.Duration(r.random.Int63n(int64(maxFreeze))))
	_ = frozen.Signal(syscall.SIGCONT)
	return true
}

// exhaustDescriptors keeps a dispatcher from opening any further descriptors for a while.
func exhaustDescriptors(r *run, duration time.Duration) bool {
	d := r.lockDispatcher()
	if d == nil {
		return false
	}
	pid := d.process.cmd.Process.Pid
	d.mu.Unlock()
	if err := syscallfaults.PreventNewDescriptors(pid); err != nil {
		return false
	}
	time.AfterFunc(duration, func() { _ = syscallfaults.LimitDescriptors(pid, maxDescriptors) }) // fails if it has ended
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
	if r.drained[endpoint] || drainOneIn*(r.drainsByKind[kind]+1) > ofKind {
		return false
	}
	r.drained[endpoint] = true
	r.drainsByKind[kind]++
	r.publish(endpoint, drainingState)
	return true
}
