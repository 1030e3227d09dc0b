package scenarios

import (
	"plumspindle/internal/dispatch"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/virtual"
)

// Mutant is a defect that is injected into the program itself, to verify that the checks find it. A nil field changes
// nothing.
type Mutant struct {
	Name       string
	Dispatcher func() *dispatch.Mutation
	Loop       func(*virtual.Loop) eventloop.Loop
	Disk       func(*virtual.Disk)
	Run        func(*Run)
}

// mutation returns the mutant's change to a dispatcher, or nil if it has none. The mutant may be nil.
func (m *Mutant) mutation() *dispatch.Mutation {
	if m == nil || m.Dispatcher == nil {
		return nil
	}
	return m.Dispatcher()
}

// loop returns the event loop that a dispatcher runs on, with the mutant's change.
func (m *Mutant) loop(unchanged *virtual.Loop) eventloop.Loop {
	if m == nil || m.Loop == nil {
		return unchanged
	}
	return m.Loop(unchanged)
}

// changeDisk applies the mutant's change to a dispatcher's disk.
func (m *Mutant) changeDisk(disk *virtual.Disk) {
	if m != nil && m.Disk != nil {
		m.Disk(disk)
	}
}
