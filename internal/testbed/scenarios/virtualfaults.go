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
	slowSyncTime            = 150 * eventloop.Millisecond // of a slow disk whose fault gives none
	defaultSyncTime         = 2 * eventloop.Millisecond
	pickOne         float64 = 0
)

// errDisk is what a disk that fails returns.
var errDisk = errors.New("input/output error")

// virtualInjectors are the kinds of fault that need a world in virtual time.
var virtualInjectors = map[string]func(i injection){
	"kill_at":    killAtStep,
	"freeze":     freezeDispatchers,
	"half_cut":   partitionOneWay,
	"clock_step": stepClocks,
	"disk_fault": failDisks,
	"disk_full":  fillDisks,
	"slow_disk":  slowDownDisks,
}

// dispatchers returns a share of the dispatchers, drawn at random, one at least.
func (i injection) dispatchers(share float64) []*virtualDispatcher {
	return pickShare(i.run.random, i.run.virtual.dispatchers, share)
}

// killAtStep has one dispatcher die between two things that happen, wherever that is.
func killAtStep(i injection) {
	dispatcher := i.dispatchers(pickOne)[0]
	i.run.virtual.network.AtStep(int(i.fault.Step), func() {
		dispatcher.crash(context.Background(), max(i.duration, minDowntime))
	})
}

func freezeDispatchers(i injection) {
	for _, dispatcher := range i.dispatchers(i.fault.Share) {
		dispatcher.markUnavailable(record.Frozen, i.duration)
		dispatcher.loop.Freeze(i.duration)
	}
}

// partitionOneWay blocks one direction between dispatchers and all endpoints; the other stays open.
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

// stepClocks sets the machine's clock while a dispatcher is down: within an incarnation its own time goes on evenly,
// whatever that clock does.
func stepClocks(i injection) {
	for _, dispatcher := range i.dispatchers(i.fault.Share) {
		dispatcher.clockSkew += i.factorTimes(eventloop.Second)
		dispatcher.crash(context.Background(), max(i.duration, minDowntime))
	}
}

// changeDisks changes disks for a while.
func changeDisks(i injection, change, undo func(disk *virtual.Disk)) {
	for _, dispatcher := range i.dispatchers(i.fault.Share) {
		change(dispatcher.disk)
		i.run.fleetLoop.AfterFunc(i.duration, func() { undo(dispatcher.disk) })
	}
}

// failDisks has writes fail and leave a part of themselves.
func failDisks(i injection) {
	changeDisks(i, func(disk *virtual.Disk) { disk.Failure, disk.PartialWrites = errDisk, true },
		func(disk *virtual.Disk) { disk.Failure = nil })
}

// fillDisks leaves disks only a few more bytes.
func fillDisks(i injection) {
	changeDisks(i, func(disk *virtual.Disk) { disk.Capacity = disk.Used() + int(i.fault.Factor) + 1 },
		func(disk *virtual.Disk) { disk.Capacity = 0 })
}

// slowDownDisks has each write take so many seconds.
func slowDownDisks(i injection) {
	syncTime := slowSyncTime
	if i.fault.Factor > 0 {
		syncTime = i.factorTimes(eventloop.Second)
	}
	changeDisks(i, func(disk *virtual.Disk) { disk.SyncTime = syncTime },
		func(disk *virtual.Disk) { disk.SyncTime = defaultSyncTime })
}
