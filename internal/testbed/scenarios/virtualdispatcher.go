package scenarios

import (
	"context"
	"errors"
	"fmt"

	"github.com/rs/zerolog"

	"plumspindle/internal/dispatch"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/store"
	"plumspindle/internal/testbed/load"
	"plumspindle/internal/testbed/record"
	"plumspindle/internal/virtual"
)

// virtualDispatcher is one dispatcher in virtual time, with all its incarnations.
type virtualDispatcher struct {
	run              *Run
	target           *load.Target
	number           int // counts from 1
	incarnations     int
	loop             *virtual.Loop // of the current incarnation
	dispatcher       *dispatch.Dispatcher
	cachedEndpoints  []byte
	clockSkew        eventloop.Micros
	disk             *virtual.Disk
	down             bool
	unavailableUntil eventloop.Micros // until this time a fault freezes the dispatcher or partitions it from its endpoints
}

// start starts the next incarnation. The incarnation listens on the address of the previous one, if there was one.
func (d *virtualDispatcher) start() (err error) {
	run := d.run
	d.incarnations++
	d.down = false
	name := fmt.Sprintf("d%d.%d", d.number, d.incarnations)
	d.loop = run.virtual.network.NewLoop(name)
	d.loop.StepClock(d.clockSkew)
	loop := run.Mutant.loop(d.loop)
	config := dispatch.Config{Name: name, Zone: d.target.Zone, Seed: run.Seed*100 + int64(d.number*10+d.incarnations),
		Mutation: run.Mutant.mutation(), Discovery: run.fleet.Discovery.Addr, Log: zerolog.Nop(),
		CachedEndpoints: [][]byte{d.cachedEndpoints},
		CacheEndpoints:  func(list []byte) { d.cachedEndpoints = list }}
	d.loop.Do(func() {
		run.Mutant.changeDisk(d.disk)
		if run.StoreIntents {
			if config.IntentStore, err = store.Open(d.disk.AttachTo(d.loop), store.DefaultLimits); err != nil {
				return
			}
		}
		if d.dispatcher, err = dispatch.Start(loop, run.Deployment, config); err != nil {
			return
		}
		var listener eventloop.Listener
		if listener, err = loop.Listen(d.target.Addr, d.dispatcher.Frontend().Accept); err != nil {
			return
		}
		d.target.Addr, d.target.Name = listener.Addr(), name
	})
	return err
}

// kill stops the current incarnation at once, without a shutdown.
func (d *virtualDispatcher) kill() {
	d.run.recorder.Add(record.Event{
		At: int64(d.run.virtual.network.Now()), Type: record.DispatcherKilled, Dispatcher: d.target.Name,
	})
	d.loop.Kill()
}

// crash kills the current incarnation and starts the next one after the downtime. It does nothing if none is running.
func (d *virtualDispatcher) crash(_ context.Context, downtime eventloop.Micros) {
	if d.down {
		return
	}
	d.down = true
	d.kill()
	virtualState := d.run.virtual
	d.run.fleetLoop.AfterFunc(downtime, func() {
		if err := d.start(); err != nil {
			virtualState.restartFailure = errors.Join(virtualState.restartFailure,
				fmt.Errorf("dispatcher %d did not restart: %w", d.number, err))
		}
	})
}

// limitDescriptors limits the current incarnation to its open connections plus some spare ones.
func (d *virtualDispatcher) limitDescriptors(spare int) (undo func()) {
	loop := d.loop
	loop.DescriptorLimit = loop.OpenConnections() + spare
	return func() { loop.DescriptorLimit = 0 }
}

// markUnavailable records that a fault keeps the dispatcher from meeting its obligations for the duration.
func (d *virtualDispatcher) markUnavailable(why string, duration eventloop.Micros) {
	now := d.run.virtual.network.Now()
	d.unavailableUntil = max(d.unavailableUntil, now+duration)
	d.run.recorder.Add(record.Event{
		At: int64(now), Type: record.DispatcherUnavailable, Dispatcher: d.target.Name, Detail: why,
		Count: int64(duration),
	})
}
