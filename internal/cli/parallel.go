package cli

import (
	"context"
	"runtime"

	"golang.org/x/sync/errgroup"
)

// defaultParallelRuns is the number of runs in virtual time that execute at once in commands without a flag for this
// number.
const defaultParallelRuns = 4

// runParallel runs jobs, at most limit of them at once, and starts them in order. After an error it starts no further
// job.
func runParallel(limit int, jobs []func() error) error {
	var group errgroup.Group
	group.SetLimit(limit)
	failed := make(chan struct{}, len(jobs))
	for _, job := range jobs {
		if len(failed) > 0 {
			break
		}
		group.Go(func() error {
			err := job()
			if err != nil {
				failed <- struct{}{}
			}
			return err
		})
	}
	return group.Wait()
}

// seedRange is a range of seeds that includes both first and last.
type seedRange struct {
	first, last int64
}

func (r seedRange) count() int64 { return r.last - r.first + 1 }

// forEach runs a job for each seed, with at most workers jobs at once. If workers is 0, the number of processors is the
// limit. After an error, or once ctx ends, it starts no further job.
func (r seedRange) forEach(ctx context.Context, workers int, job func(seed int64) error) error {
	if workers <= 0 {
		workers = runtime.NumCPU()
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(workers)
	for seed := r.first; seed <= r.last && groupCtx.Err() == nil; seed++ {
		group.Go(func() error { return job(seed) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return ctx.Err()
}
