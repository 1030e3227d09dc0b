package soak

import (
	"fmt"
	"time"
)

// startUpTime is the time that dispatchers are given to become ready.
const startUpTime = time.Second

// entryFormat is the format of an endpoint's entry in the endpoint list. Its result contains addressVerb in place of
// the IP address.
const entryFormat = `{"id":"h%d","addr":"%%s:%d","zone":"west","kind":%q,"cell":0,` +
	`"state":%q,"weight":1.0,"started_ms":%d}`

// startAll starts all processes: first those that the dispatchers need, then the dispatchers, then the clients.
func (r *run) startAll() error {
	for _, start := range []func() error{r.startEndpoints, r.startProxies, r.startAgents, r.startDispatchers,
		r.startClients} {
		if err := start(); err != nil {
			return err
		}
	}
	r.report.Processes = len(r.standIns()) + len(r.dispatchers)
	return nil
}

// startStandIn starts a stand-in that has its own record, and appends it to a list.
func (r *run) startStandIn(role string, setup Setup, list *[]*process) error {
	setup.Record, setup.Seed = r.newRecordPath(role+"-"+setup.Name), r.random.Int63()
	p, err := startStandInProcess(role, setup)
	if err != nil {
		return err
	}
	*list = append(*list, p)
	return nil
}

func (r *run) endpointAddresses() (addresses []string) {
	for endpoint := range r.Prefills + r.Decodes {
		addresses = append(addresses, r.address(endpointAddress, endpoint, endpointPort))
	}
	return addresses
}

func (r *run) startEndpoints() error {
	for endpoint, address := range r.endpointAddresses() {
		setup := Setup{Name: endpointName(endpoint), Kind: r.kindOf(endpoint), Listen: []string{address}}
		if err := r.startStandIn(endpointRole, setup, &r.endpoints); err != nil {
			return err
		}
	}
	return nil
}

// startProxies starts a proxy for each dispatcher, which forwards its connections to all endpoints.
func (r *run) startProxies() error {
	targets := r.endpointAddresses()
	for number := range r.Dispatchers {
		var listen []string
		for endpoint := range targets {
			listen = append(listen, r.address(proxyAddress, number, endpointPort+endpoint))
		}
		setup := Setup{Name: r.ip(sourceAddress, number), Listen: listen, Targets: targets}
		if err := r.startStandIn(proxyRole, setup, &r.proxies); err != nil {
			return err
		}
	}
	return nil
}

// startAgents starts the discovery agents, each with one address for every dispatcher, and publishes the endpoints.
func (r *run) startAgents() error {
	var proxies []string
	for number := range r.Dispatchers {
		proxies = append(proxies, r.ip(proxyAddress, number))
	}
	for agent := range agentCount {
		var listen []string
		for number := range r.Dispatchers {
			listen = append(listen, r.address(agentAddress, number, agentPort+agent))
		}
		setup := Setup{Name: fmt.Sprint("a", agent), Listen: listen, Targets: proxies}
		if err := r.startStandIn(discoveryRole, setup, &r.agents); err != nil {
			return err
		}
	}
	for endpoint := range r.endpoints {
		r.publish(endpoint, servingState)
	}
	return nil
}

func (r *run) startDispatchers() error {
	for number := range r.Dispatchers {
		if err := r.addDispatcher(number); err != nil {
			return err
		}
	}
	time.Sleep(startUpTime)
	return nil
}

func (r *run) startClients() error {
	var targets []string
	for _, d := range r.dispatchers {
		targets = append(targets, d.address)
	}
	for number := range r.Clients {
		setup := Setup{Name: fmt.Sprint("c", number), Targets: targets, Duration: r.Duration, Deadline: r.Deadline}
		if err := r.startStandIn(clientsRole, setup, &r.clients); err != nil {
			return err
		}
	}
	return nil
}

// restartEndpoint kills an endpoint and starts it again. The endpoint's connections are reset, and its reserved states
// are lost.
func (r *run) restartEndpoint(endpoint int) error {
	name := endpointName(endpoint)
	r.record.add(Event{Kind: Killed, Endpoint: name})
	r.endpoints[endpoint].kill()
	r.endpointRestarts++
	p, err := startStandInProcess(endpointRole, Setup{Name: name, Kind: r.kindOf(endpoint),
		Listen: []string{r.address(endpointAddress, endpoint, endpointPort)}, Seed: r.random.Int63(),
		Record: r.newRecordPath(fmt.Sprintf("%s-%s-%d", endpointRole, name, r.endpointRestarts))})
	if err != nil {
		return err
	}
	r.endpoints[endpoint] = p
	r.startedMs[endpoint] = time.Now().UnixMilli()
	r.publish(endpoint, servingState)
	return nil
}

// publish makes all discovery agents publish an endpoint's state.
func (r *run) publish(endpoint int, state string) {
	entry := fmt.Sprintf(entryFormat, endpoint, endpointPort+endpoint, r.kindOf(endpoint), state, r.startedMs[endpoint])
	if state == drainingState {
		r.record.add(Event{Kind: Drained, Endpoint: endpointName(endpoint)})
	}
	for _, agent := range r.agents {
		agent.send("%s %s %s %s", commandEntry, endpointName(endpoint), state, entry)
	}
}
