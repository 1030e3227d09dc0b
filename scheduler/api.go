package scheduler

import "plumspindle/scheduler/timerqueue"

// Micros is a time or a span in whole microseconds, on the clock that the caller hands in.
type Micros = timerqueue.Micros

// The ids carry no meaning beyond equality; each kind is a type of its own so that none passes for another.
type (
	GenID     uint64
	HostID    uint32
	SessionID uint64
	PrefixID  uint64
	TenantID  uint16
	ProductID uint8
	ZoneID    uint8
	KindID    uint8
	CellID    uint16
	LegNo     uint16
)

// Orders is what a dispatcher may ask of the world around it. Calls are carried out in their order.
type Orders interface {
	Send(gen GenID, host HostID, allow Micros)
	Throttle(gen GenID, comeBackIn Micros)
	Terminate(gen GenID)
	Cancel(gen GenID, leg LegNo)
	LetGo(gen GenID)
	Subscribe()
	Ring(after Micros, bell Bell)
	Log(line string)
}

// Bell tells the two timers of an instance apart.
type Bell uint64

const (
	Beat Bell = 1 // the one periodic timer
	Due  Bell = 2 // the earliest of the ordered due times
)

// Role is what a kind of model host can do.
type Role uint8

const (
	Reader Role = iota
	Writer
	Mixed
	Embedder // reads what is complete with its read, and nothing else
)

// Effect says what a repeat of a product's generation would do.
type Effect uint8

const (
	Idempotent Effect = iota
	Deduplicated
	SideEffecting
)

// Group names the model hosts that drop each other's repeats of a deduplicated generation.
type Group uint8

const (
	AllHosts Group = iota
	SameZone
	SameCell
)

// Condition is what the list of model hosts says of one.
type Condition uint8

const (
	Ready Condition = iota
	Draining
	Gone
)

// Ending is how a leg came out.
type Ending uint8

const (
	Streamed Ending = iota
	ReadDone        // the prompt is read and its state waits at the reader
	Errored
	Full
	TimedOut
	Unreachable // no connection in time
	Dropped     // the connection broke with the leg on it
	Cancelled
	NeverSent
)

// NoReport stands for the reported memory share of an outcome that came without one.
const NoReport = -1.0

// Product is what the deployment promises for one class of generations.
type Product struct {
	SLO, SLOPer1000, TokenSLO, Window Micros
	Revenue, LateShare                float64
	Effect                            Effect
	Group                             Group
	ReadOnly                          bool // a generation is complete with its read; it must be idempotent
}

// Kind is one sort of machine.
type Kind struct {
	Role   Role
	Memory float64 // tokens
}

// Deployment is what an instance is told at its start about the place it serves in.
type Deployment struct {
	Dispatchers    int
	Zone           ZoneID // that this dispatcher stands in
	Products       []Product
	Kinds          []Kind
	Quotas         []float64 // generations a second inside each tenant's share, over all dispatchers
	OverShareWorth float64
	WritersRead    bool
	LegLimit       int
	MayCancel      bool
	MaxComeBack    Micros
	OnRequest      bool // the list of hosts comes only to those that ask
	Tick           Micros
	Idle           Micros // an unused connection is closed after it
	Connect        Micros // a leg that has not left by then, for want of a connection, never does
	Cold           Micros
	ColdFrom       float64
	Fall           Micros
	FallMultiple   float64
}
