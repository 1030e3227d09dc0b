// Package load has the clients of the test bed: open-loop clients of the chat API, which send at their own times
// whatever the answers do, and closed-loop clients of the batch APIs.
//
// It owns the clients' requests, retries and patience, and checks every byte of every answer. It relies on the event
// loop for time and connections, on modelserver for what endpoints answer, and on a record to which it reports each
// final answer. It knows dispatchers by their public API only.
package load

import (
	"math"
	"math/rand"
	"strconv"
	"strings"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/record"
)

// What clients ask for.
const (
	continueShare        = 0.45 // of requests that go on with a session, if there is one
	sharedPrefixShare    = 0.85 // of sessions that begin with a text that others share
	sharedPrefixes       = 6    // of a product
	maxTurns             = 4    // of a session
	defaultUnstreamed    = 0.15
	defaultMinPatience   = 0.5
	minRate              = 0.01
	maxUnstreamedTokens  = 60 // as an answer in one piece must fit into the client's time altogether
	charactersPerToken   = 4
	minPrefixTokens      = 800
	prefixTokensSpread   = 1600
	minQuestionTokens    = 80
	questionTokensSpread = 400
	roleSystem           = "system"
	roleUser             = "user"
	roleAssistant        = "assistant"
	assistantText        = "noted" // for an answer, in the next turn
)

// Target is one dispatcher that clients may go to.
type Target struct {
	Name, Zone, Addr string
	Alive            bool // in the view of the load balancer in front of the dispatchers
}

// Generator is all chat clients. Its fields may be changed on its loop while it runs.
type Generator struct {
	Targets         []*Target
	Keys            []string  // by tenant
	Rate            float64   // requests a second
	TenantShares    []float64 // of the traffic, against each other
	MinPatience     float64   // the least share of its product's time limit that a client waits in all; 1 at most
	UnstreamedShare float64   // of the answers that are asked for in one piece
	// Keyed has requests that are not idempotent sent with an Idempotency-Key, each always to the same dispatcher.
	Keyed bool

	Open  int // requests in flight
	Asked int

	loop       eventloop.Loop
	deployment deployment.Deployment
	random     *rand.Rand
	recorder   *record.Recorder
	lastID     int
	stopped    bool
	prefixes   map[string][]string // by product
	products   []*pb.Product       // for chat
	sessions   [][]*session        // that wait for their next turn, by tenant
}

// session is a dialogue.
type session struct {
	product  *pb.Product
	tenant   int
	zone     string
	messages []message
	turns    int // that are left
}

// message is one message of a dialogue, its fields in the order of their names.
type message struct {
	Content string `json:"content"`
	Role    string `json:"role"`
}

// Config is what a generator needs.
type Config struct {
	Deployment deployment.Deployment
	Seed       int64
	Keys       []string // by tenant
	Targets    []*Target
	Recorder   *record.Recorder
}

// New makes a generator that does nothing until Run.
func New(loop eventloop.Loop, config Config) *Generator {
	generator := &Generator{
		Targets:         config.Targets,
		Keys:            config.Keys,
		MinPatience:     defaultMinPatience,
		UnstreamedShare: defaultUnstreamed,
		loop:            loop,
		deployment:      config.Deployment,
		random:          rand.New(rand.NewSource(config.Seed)),
		recorder:        config.Recorder,
		prefixes:        map[string][]string{},
	}
	for range config.Deployment.Tenants {
		generator.TenantShares = append(generator.TenantShares, 1)
		generator.sessions = append(generator.sessions, nil)
	}
	for _, product := range config.Deployment.Products {
		if product.Form != pb.Product_CHAT {
			continue
		}
		generator.products = append(generator.products, product)
		for range sharedPrefixes {
			prefix := generator.words(minPrefixTokens + generator.random.Intn(prefixTokensSpread))
			generator.prefixes[product.Name] = append(generator.prefixes[product.Name], prefix)
		}
	}
	return generator
}

// Run sends requests, at random times, until Stop.
func (g *Generator) Run() {
	if g.stopped {
		return
	}
	seconds := -math.Log(1-g.random.Float64()) / max(g.Rate, minRate)
	g.loop.AfterFunc(eventloop.Micros(seconds*1e6), func() {
		if !g.stopped {
			g.ask()
			g.Run()
		}
	})
}

// Stop sends no more; requests in flight go on.
func (g *Generator) Stop() { g.stopped = true }

// words makes a text of about so many tokens.
func (g *Generator) words(tokens int) string {
	var text strings.Builder
	for text.Len() < charactersPerToken*tokens {
		text.WriteString(strconv.FormatUint(uint64(g.random.Uint32()), 36))
		text.WriteByte(' ')
	}
	return text.String()
}

// drawTenant draws a tenant by the shares.
func (g *Generator) drawTenant() int {
	sum := 0.0
	for _, share := range g.TenantShares {
		sum += share
	}
	at := g.random.Float64() * sum
	for i, share := range g.TenantShares {
		if at -= share; at < 0 {
			return i
		}
	}
	return 0
}

// ask sends a request: a session's next turn, or a new session's first.
func (g *Generator) ask() {
	tenant := g.drawTenant()
	s := g.takeSession(tenant)
	if s == nil {
		s = g.newSession(tenant)
	}
	question := g.words(minQuestionTokens + g.random.Intn(questionTokensSpread))
	s.messages = append(s.messages, message{Role: roleUser, Content: question})
	g.lastID++
	g.Asked++
	g.Open++
	r := &chatRequest{generator: g, session: s, id: "g" + strconv.Itoa(g.lastID), since: g.loop.Now(),
		unstreamed: g.random.Float64() < g.UnstreamedShare, timeLimit: timeLimit(s.product),
		maxTokens: int(s.product.MostTokens)}
	if r.unstreamed {
		r.maxTokens = min(r.maxTokens, maxUnstreamedTokens)
	}
	r.try()
}

// takeSession draws a waiting session of a tenant, or none.
func (g *Generator) takeSession(tenant int) *session {
	waiting := g.sessions[tenant]
	if len(waiting) == 0 || g.random.Float64() >= continueShare {
		return nil
	}
	i, last := g.random.Intn(len(waiting)), len(waiting)-1
	s := waiting[i]
	waiting[i] = waiting[last]
	g.sessions[tenant] = waiting[:last]
	return s
}

func (g *Generator) newSession(tenant int) *session {
	product := g.products[g.random.Intn(len(g.products))]
	zone := g.deployment.Zones[g.random.Intn(len(g.deployment.Zones))]
	s := &session{product: product, tenant: tenant, zone: zone, turns: 1 + g.random.Intn(maxTurns)}
	if g.random.Float64() < sharedPrefixShare {
		prefix := g.prefixes[product.Name][g.random.Intn(sharedPrefixes)]
		s.messages = append(s.messages, message{Role: roleSystem, Content: prefix})
	}
	return s
}

// targetsNear returns the targets that are alive, those of a zone if there are any.
func (g *Generator) targetsNear(zone string) []*Target {
	var near, all []*Target
	for _, target := range g.Targets {
		if !target.Alive {
			continue
		}
		all = append(all, target)
		if target.Zone == zone {
			near = append(near, target)
		}
	}
	if len(near) == 0 {
		return all
	}
	return near
}

func timeLimit(product *pb.Product) eventloop.Micros {
	return eventloop.Micros(product.TimeLimitMs) * eventloop.Millisecond
}
