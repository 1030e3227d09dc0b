package scenarios

import (
	"context"
	"errors"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/record"
	"plumspindle/internal/virtual"
)

const (
	minDowntime             = eventloop.Millisecond
	slowSyncTime            = 150 * eventloop.Millisecond // of a slow disk if the fault states no time
	defaultSyncTime         = 2 * eventloop.Millisecond   // of a disk that is not slowed down
	pickOne         float64 = 0                           // a share for which pickShare draws a single element
)

// errDisk is the error that a failing disk returns.
var errDisk = errors.New("input/output error")

// virtualInjectors inject the kinds of fault that work in virtual time only.
var virtualInjectors = map[string]func(i injection){
	"kill_at":    killAtStep,
	"freeze":     freezeDispatchers,
	"half_cut":   partitionOneWay,
	"clock_step": stepClocks,
	"disk_fault": failDisks,
	"disk_full":  fillDisks,
	"slow_disk":  slowDownDisks,
}

// dispatchers draws a share of the dispatchers at random, but at least one.
func (i injection) dispatchers(share float64) []*virtualDispatcher {
	return pickShare(i.run.random, i.run.virtual.dispatchers, share)
}

// killAtStep kills one dispatcher after the given number of further network steps. The kill may thus fall between any
// two events.
func killAtStep(i injection) {
	dispatcher := i.dispatchers(pickOne)[0]
	i.run.virtual.network.AtStep(int(i.fault.Step), func() {
		dispatcher.crash(context.Background(), max(i.duration, minDowntime))
	})
}

// freezeDispatchers stops the event loops of dispatchers for the duration.
func freezeDispatchers(i injection) {
	for _, dispatcher := range i.dispatchers(i.fault.Share) {
		dispatcher.markUnavailable(record.Frozen, i.duration)
		dispatcher.loop.Freeze(i.duration)
	}
}

// partitionOneWay blocks one direction between each dispatcher drawn and all endpoints. Data in the other direction
// still arrives.
func partitionOneWay(i injection) {
	endpoints, _ := i.run.fleetLoop.(*virtual.Loop)
	network := i.run.virtual.network
	for index, dispatcher := range i.dispatchers(i.fault.Share) {
		dispatcher.markUnavailable(record.Partitioned, i.duration)
		if index%2 == 0 {
			network.Block(endpoints, dispatcher.loop, i.duration)
		} else {
			network.Block(dispatcher.loop, endpoints, i.duration)
		}
	}
}

// stepClocks restarts dispatchers and steps the clock of their machine while they are down. Within an
// incarnation a process measures time with a monotonic clock, which such a step does not affect.
func stepClocks(i injection) {
	for _, dispatcher := range i.dispatchers(i.fault.Share) {
		dispatcher.clockSkew += i.factorTimes(eventloop.Second)
		dispatcher.crash(context.Background(), max(i.duration, minDowntime))
	}
}

// changeDisks changes the disks of dispatchers for the duration of the fault.
func changeDisks(i injection, change, undo func(disk *virtual.Disk)) {
	for _, dispatcher := range i.dispatchers(i.fault.Share) {
		change(dispatcher.disk)
		i.run.fleetLoop.AfterFunc(i.duration, func() { undo(dispatcher.disk) })
	}
}

// failDisks makes appends, writes and removals fail. An append that fails still writes a part of its data.
func failDisks(i injection) {
	changeDisks(i, func(disk *virtual.Disk) { disk.Failure, disk.PartialWrites = errDisk, true },
		func(disk *virtual.Disk) { disk.Failure = nil })
}

// fillDisks limits disks to the bytes in use plus a few more.
func fillDisks(i injection) {
	changeDisks(i, func(disk *virtual.Disk) { disk.Capacity = disk.Used() + int(i.fault.Factor) + 1 },
		func(disk *virtual.Disk) { disk.Capacity = 0 })
}

// slowDownDisks sets the time that each sync takes: the fault's factor in seconds, or slowSyncTime if the fault has no
// factor.
func slowDownDisks(i injection) {
	syncTime := slowSyncTime
	if i.fault.Factor > 0 {
		syncTime = i.factorTimes(eventloop.Second)
	}
	changeDisks(i, func(disk *virtual.Disk) { disk.SyncTime = syncTime },
		func(disk *virtual.Disk) { disk.SyncTime = defaultSyncTime })
}
