// Package load simulates the clients of the test bed: open-loop clients of the chat API, which send requests at random
// times however slow the answers are, and closed-loop clients of the batch APIs.
//
// It owns the clients' requests, retries and time limits, and checks the whole content of every answer. It uses the
// event loop for time and connections and package modelserver for the expected content, and reports each final answer
// to a record. It uses only the public API of the dispatchers.
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

// The shape of the chat traffic.
const (
	continuedSessionShare    = 0.45 // probability that a request continues a session, if one is waiting
	sharedPrefixShare        = 0.85 // probability that a new session starts with a shared system message
	prefixesPerProduct       = 6    // distinct system messages
	maxTurns                 = 4    // most user messages of one session
	defaultNonStreamingShare = 0.15
	defaultMinTimeLimitShare = 0.5
	minRate                  = 0.01
	maxNonStreamingTokens    = 60 // low, because the whole of a non-streaming answer must arrive within the time limit
	charactersPerToken       = 4
	minPrefixTokens          = 800
	prefixTokensSpread       = 1600
	minQuestionTokens        = 80
	questionTokensSpread     = 400
	roleSystem               = "system"
	roleUser                 = "user"
	roleAssistant            = "assistant"
	assistantText            = "noted" // content that stands for each earlier answer in the next turn
)

// Target is one dispatcher that clients may send requests to.
type Target struct {
	Name, Zone, Addr string
	Alive            bool // whether the load balancer in front of the dispatchers considers it alive
}

// Generator simulates all chat clients. Its exported fields may be changed while it runs, but only on its event loop.
type Generator struct {
	Targets           []*Target
	Keys              []string  // API keys by tenant index
	Rate              float64   // mean requests per second
	TenantShares      []float64 // relative weights of the tenants in the traffic, by tenant index
	MinTimeLimitShare float64   // from 0 to 1: an attempt's time limit is at least this share of the time left
	NonStreamingShare float64   // probability that a request asks for an answer that is not streamed
	// UseIdempotencyKeys adds an Idempotency-Key to each request for a product that is not idempotent, and sends all
	// its attempts to the same dispatcher.
	UseIdempotencyKeys bool

	OpenRequests    int // requests in flight
	RequestsStarted int

	loop            eventloop.Loop
	deployment      deployment.Deployment
	random          *rand.Rand
	recorder        *record.Recorder
	lastID          int
	stopped         bool
	prefixes        map[string][]string // shared system messages, by product name
	products        []*pb.Product       // the products of the chat API
	waitingSessions [][]*session        // sessions with turns left and no request in flight, by tenant index
}

// session is a conversation of several turns between one client and one product.
type session struct {
	product   *pb.Product
	tenant    int
	zone      string
	messages  []message
	turnsLeft int // user messages still to be sent, the one in flight included
}

// message is one message of a chat request. Its fields are in alphabetical order.
type message struct {
	Content string `json:"content"`
	Role    string `json:"role"`
}

// Config configures a generator.
type Config struct {
	Deployment deployment.Deployment
	Seed       int64
	Keys       []string // API keys by tenant index
	Targets    []*Target
	Recorder   *record.Recorder
}

// New returns a generator that sends nothing until Run is called.
func New(loop eventloop.Loop, config Config) *Generator {
	generator := &Generator{
		Targets:           config.Targets,
		Keys:              config.Keys,
		MinTimeLimitShare: defaultMinTimeLimitShare,
		NonStreamingShare: defaultNonStreamingShare,
		loop:              loop,
		deployment:        config.Deployment,
		random:            rand.New(rand.NewSource(config.Seed)),
		recorder:          config.Recorder,
		prefixes:          map[string][]string{},
	}
	for range config.Deployment.Tenants {
		generator.TenantShares = append(generator.TenantShares, 1)
		generator.waitingSessions = append(generator.waitingSessions, nil)
	}
	for _, product := range config.Deployment.Products {
		if product.Form != pb.Product_CHAT {
			continue
		}
		generator.products = append(generator.products, product)
		for range prefixesPerProduct {
			prefix := generator.randomText(minPrefixTokens + generator.random.Intn(prefixTokensSpread))
			generator.prefixes[product.Name] = append(generator.prefixes[product.Name], prefix)
		}
	}
	return generator
}

// Run sends requests at random times (a Poisson process) until Stop is called.
func (g *Generator) Run() {
	if g.stopped {
		return
	}
	seconds := -math.Log(1-g.random.Float64()) / max(g.Rate, minRate)
	g.loop.AfterFunc(eventloop.Micros(seconds*1e6), func() {
		if !g.stopped {
			g.startRequest()
			g.Run()
		}
	})
}

// Stop lets no further request start; requests in flight continue.
func (g *Generator) Stop() { g.stopped = true }

// randomText returns a random text of about the given number of tokens.
func (g *Generator) randomText(tokens int) string {
	var text strings.Builder
	for text.Len() < charactersPerToken*tokens {
		text.WriteString(strconv.FormatUint(uint64(g.random.Uint32()), 36))
		text.WriteByte(' ')
	}
	return text.String()
}

// drawTenant draws the index of a tenant, weighted by TenantShares.
func (g *Generator) drawTenant() int {
	sum := 0.0
	for _, share := range g.TenantShares {
		sum += share
	}
	remaining := g.random.Float64() * sum
	for i, share := range g.TenantShares {
		if remaining -= share; remaining < 0 {
			return i
		}
	}
	return 0
}

// startRequest starts a request, for the next turn of a waiting session or the first turn of a new one.
func (g *Generator) startRequest() {
	tenant := g.drawTenant()
	s := g.drawWaitingSession(tenant)
	if s == nil {
		s = g.newSession(tenant)
	}
	question := g.randomText(minQuestionTokens + g.random.Intn(questionTokensSpread))
	s.messages = append(s.messages, message{Role: roleUser, Content: question})
	g.lastID++
	g.RequestsStarted++
	g.OpenRequests++
	r := &chatRequest{generator: g, session: s, id: "g" + strconv.Itoa(g.lastID), startedAt: g.loop.Now(),
		nonStreaming: g.random.Float64() < g.NonStreamingShare, timeLimit: timeLimit(s.product),
		maxTokens: int(s.product.MostTokens)}
	if r.nonStreaming {
		r.maxTokens = min(r.maxTokens, maxNonStreamingTokens)
	}
	r.startAttempt()
}

// drawWaitingSession draws and removes a waiting session of a tenant. It returns nil if a new session is to be started.
func (g *Generator) drawWaitingSession(tenant int) *session {
	waiting := g.waitingSessions[tenant]
	if len(waiting) == 0 || g.random.Float64() >= continuedSessionShare {
		return nil
	}
	i, last := g.random.Intn(len(waiting)), len(waiting)-1
	s := waiting[i]
	waiting[i] = waiting[last]
	g.waitingSessions[tenant] = waiting[:last]
	return s
}

// newSession draws the product, zone, number of turns and shared system message of a session.
func (g *Generator) newSession(tenant int) *session {
	product := g.products[g.random.Intn(len(g.products))]
	zone := g.deployment.Zones[g.random.Intn(len(g.deployment.Zones))]
	s := &session{product: product, tenant: tenant, zone: zone, turnsLeft: 1 + g.random.Intn(maxTurns)}
	if g.random.Float64() < sharedPrefixShare {
		prefix := g.prefixes[product.Name][g.random.Intn(prefixesPerProduct)]
		s.messages = append(s.messages, message{Role: roleSystem, Content: prefix})
	}
	return s
}

// aliveTargets returns the targets in a zone that are alive, or all alive targets if no target in the zone is alive.
func (g *Generator) aliveTargets(zone string) []*Target {
	var inZone, all []*Target
	for _, target := range g.Targets {
		if !target.Alive {
			continue
		}
		all = append(all, target)
		if target.Zone == zone {
			inZone = append(inZone, target)
		}
	}
	if len(inZone) == 0 {
		return all
	}
	return inZone
}

// timeLimit returns how long a client waits for a product's answer, over all attempts.
func timeLimit(product *pb.Product) eventloop.Micros {
	return eventloop.Micros(product.TimeLimitMs) * eventloop.Millisecond
}
