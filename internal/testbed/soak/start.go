package soak

import (
	"fmt"
	"time"
)

// startingTime is how long dispatchers may take to be ready.
const startingTime = time.Second

const entryFormat = `{"id":"h%d","addr":"%%s:%d","zone":"west","kind":%q,"cell":0,` +
	`"state":%q,"weight":1.0,"started_ms":%d}`

// startAll starts all processes, the dispatchers after all that they need, and the clients last.
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

// startStandIn starts a stand-in with a record of its own.
func (r *run) startStandIn(role string, setup Setup, list *[]*process) error {
	setup.Record, setup.Seed = r.newRecordPath(role+"-"+setup.Name), r.random.Int63()
	p, err := startRole(role, setup)
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

// startProxies starts a proxy for each dispatcher, which stands before all endpoints.
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

// startAgents starts the agents of discovery, each with an address for every dispatcher, and publishes the endpoints.
func (r *run) startAgents() error {
	var proxies []string
	for number := range r.Dispatchers {
		proxies = append(proxies, r.ip(proxyAddress, number))
	}
	for agent := range agents {
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
	time.Sleep(startingTime)
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

// restartEndpoint kills an endpoint and starts it again: connections are reset, and what it reserved is gone.
func (r *run) restartEndpoint(endpoint int) error {
	name := endpointName(endpoint)
	r.record.add(Event{Kind: Killed, Endpoint: name})
	r.endpoints[endpoint].kill()
	r.restarts++
	p, err := startRole(endpointRole, Setup{Name: name, Kind: r.kindOf(endpoint),
		Listen: []string{r.address(endpointAddress, endpoint, endpointPort)}, Seed: r.random.Int63(),
		Record: r.newRecordPath(fmt.Sprintf("%s-%s-%d", endpointRole, name, r.restarts))})
	if err != nil {
		return err
	}
	r.endpoints[endpoint] = p
	r.startedMs[endpoint] = time.Now().UnixMilli()
	r.publish(endpoint, servingState)
	return nil
}

// publish has discovery publish an endpoint's state.
func (r *run) publish(endpoint int, state string) {
	entry := fmt.Sprintf(entryFormat, endpoint, endpointPort+endpoint, r.kindOf(endpoint), state, r.startedMs[endpoint])
	if state == drainingState {
		r.record.add(Event{Kind: Drained, Endpoint: endpointName(endpoint)})
	}
	for _, agent := range r.agents {
		agent.order("%s %s %s %s", orderEntry, endpointName(endpoint), state, entry)
	}
}
