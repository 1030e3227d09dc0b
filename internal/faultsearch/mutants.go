package faultsearch

import (
	"bytes"

	"plumspindle/internal/dispatch"
	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/scenarios"
	"plumspindle/internal/virtual"
	"plumspindle/scheduler"
)

// orders stands between the module and its dispatcher; what is nil goes through.
type orders struct {
	scheduler.Executor
	send      func(gen scheduler.RequestID, host scheduler.EndpointID, allow scheduler.Micros)
	throttle  func(gen scheduler.RequestID, after scheduler.Micros)
	terminate func(gen scheduler.RequestID)
	cancel    func(gen scheduler.RequestID, leg scheduler.AttemptNo)
	letGo     func(gen scheduler.RequestID)
	ring      func(after scheduler.Micros, bell scheduler.TimerID)
}

func (o *orders) Send(g scheduler.RequestID, h scheduler.EndpointID, a scheduler.Micros) {
	if o.send != nil {
		o.send(g, h, a)
		return
	}
	o.Executor.Send(g, h, a)
}
func (o *orders) Reject(g scheduler.RequestID, a scheduler.Micros) {
	if o.throttle != nil {
		o.throttle(g, a)
		return
	}
	o.Executor.Reject(g, a)
}
func (o *orders) Fail(g scheduler.RequestID) {
	if o.terminate != nil {
		o.terminate(g)
		return
	}
	o.Executor.Fail(g)
}
func (o *orders) Cancel(g scheduler.RequestID, l scheduler.AttemptNo) {
	if o.cancel != nil {
		o.cancel(g, l)
		return
	}
	o.Executor.Cancel(g, l)
}
func (o *orders) Release(g scheduler.RequestID) {
	if o.letGo != nil {
		o.letGo(g)
		return
	}
	o.Executor.Release(g)
}
func (o *orders) SetTimer(a scheduler.Micros, b scheduler.TimerID) {
	if o.ring != nil {
		o.ring(a, b)
		return
	}
	o.Executor.SetTimer(a, b)
}

// loop stands between a dispatcher and the world.
type loop struct {
	*virtual.Loop
	timers int
	lose   int // of so many timers one is never heard of
	write  func(c eventloop.Conn, b []byte)
}

func (l *loop) AfterFunc(span eventloop.Micros, f func()) eventloop.Timer {
	if l.timers++; l.lose > 0 && l.timers%l.lose == 0 {
		f = func() {}
	}
	return l.Loop.AfterFunc(span, f)
}

func (l *loop) Listen(addr string, accept func(eventloop.Conn) eventloop.Handler) (eventloop.Listener, error) {
	return l.Loop.Listen(addr, func(c eventloop.Conn) eventloop.Handler {
		if l.write == nil {
			return accept(c)
		}
		return accept(&conn{c, l.write})
	})
}

type conn struct {
	eventloop.Conn
	write func(c eventloop.Conn, b []byte)
}

func (c *conn) Write(b []byte) { c.write(c.Conn, b) }

func ordered(name string, change func(o *orders)) *scenarios.Mutant {
	return &scenarios.Mutant{Name: name, Dispatcher: func() *dispatch.Mutation {
		return &dispatch.Mutation{Executor: func(real scheduler.Executor) scheduler.Executor {
			o := &orders{Executor: real}
			change(o)
			return o
		}}
	}}
}

func placed(name string, change func(*scheduler.Config)) *scenarios.Mutant {
	return &scenarios.Mutant{Name: name, Dispatcher: func() *dispatch.Mutation { return &dispatch.Mutation{Config: change} }}
}

func heard(name string, change func([]endpoints.Entry) []endpoints.Entry) *scenarios.Mutant {
	return &scenarios.Mutant{Name: name, Dispatcher: func() *dispatch.Mutation { return &dispatch.Mutation{EndpointUpdate: change} }}
}

func looped(name string, change func(*loop)) *scenarios.Mutant {
	return &scenarios.Mutant{Name: name, Loop: func(v *virtual.Loop) eventloop.Loop {
		l := &loop{Loop: v}
		change(l)
		return l
	}}
}

// Mutants are the faults that can be planted: each is one that the rules, the state's own checks or the record have to find.
func Mutants() []*scenarios.Mutant {
	final := []byte("data: [DONE]")
	return []*scenarios.Mutant{
		ordered("a state is never let go", func(o *orders) { o.letGo = func(scheduler.RequestID) {} }),
		ordered("every third state is not let go", func(o *orders) {
			n := 0
			o.letGo = func(g scheduler.RequestID) {
				if n++; n%3 != 0 {
					o.Executor.Release(g)
				}
			}
		}),
		ordered("a throttling is forgotten", func(o *orders) { o.throttle = func(scheduler.RequestID, scheduler.Micros) {} }),
		ordered("a termination is forgotten", func(o *orders) { o.terminate = func(scheduler.RequestID) {} }),
		ordered("throttled in place of terminated", func(o *orders) {
			o.terminate = func(g scheduler.RequestID) { o.Executor.Reject(g, 200*eventloop.Millisecond) }
		}),
		ordered("a cancel is forgotten", func(o *orders) { o.cancel = func(scheduler.RequestID, scheduler.AttemptNo) {} }),
		ordered("the beat stops", func(o *orders) {
			n := 0
			o.ring = func(a scheduler.Micros, b scheduler.TimerID) {
				if n++; n < 40 {
					o.Executor.SetTimer(a, b)
				}
			}
		}),
		ordered("a leg in thirty is not sent", func(o *orders) {
			n := 0
			o.send = func(g scheduler.RequestID, h scheduler.EndpointID, a scheduler.Micros) {
				if n++; n%30 != 0 {
					o.Executor.Send(g, h, a)
				}
			}
		}),
		heard("drains are not heard", func(all []endpoints.Entry) []endpoints.Entry {
			for i := range all {
				if all[i].Condition == "draining" {
					all[i].Condition = "ready"
				}
			}
			return all
		}),
		heard("ends are not heard", func(all []endpoints.Entry) (kept []endpoints.Entry) {
			for _, e := range all {
				if e.Condition != "gone" {
					kept = append(kept, e)
				}
			}
			return kept
		}),
		heard("starts are not heard", func(all []endpoints.Entry) []endpoints.Entry {
			for i := range all {
				all[i].StartedAt = 0
			}
			return all
		}),
		placed("cold hosts are taken for warm", func(p *scheduler.Config) { p.WarmUp = 0 }),
		placed("cold credit is ten times as much", func(p *scheduler.Config) { p.OverloadFactor *= 10 }),
		placed("side effects are taken for none", func(p *scheduler.Config) {
			for i := range p.Classes {
				if p.Classes[i].Effect == scheduler.NonIdempotent {
					p.Classes[i].Effect = scheduler.Idempotent
				}
			}
		}),
		placed("repeats are dropped everywhere, it is thought", func(p *scheduler.Config) {
			for i := range p.Classes {
				p.Classes[i].Group = scheduler.AllEndpoints
			}
		}),
		placed("repeats are dropped for ever, it is thought", func(p *scheduler.Config) {
			for i := range p.Classes {
				p.Classes[i].Window *= 100
			}
		}),
		looped("one timer in two hundred is lost", func(l *loop) { l.lose = 200 }),
		looped("the end of a stream is sent twice", func(l *loop) {
			l.write = func(c eventloop.Conn, b []byte) {
				c.Write(b)
				if bytes.Contains(b, final) {
					c.Write(b)
				}
			}
		}),
		looped("a stream loses what is in one write of fifty", func(l *loop) {
			n := 0
			l.write = func(c eventloop.Conn, b []byte) {
				if n++; n%50 != 0 {
					c.Write(b)
				}
			}
		}),
		looped("what is sent is sent again now and then", func(l *loop) {
			n := 0
			l.write = func(c eventloop.Conn, b []byte) {
				c.Write(b)
				if n++; n%40 == 0 {
					c.Write(b)
				}
			}
		}),
		{Name: "intents are not kept", Run: func(p *scenarios.Run) { p.Intents = false }},
		{Name: "the disk answers before it has written", Disk: func(f *virtual.Disk) { f.AcknowledgesEarly = true }},
	}
}
