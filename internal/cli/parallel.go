package cli

import (
	"context"
	"runtime"

	"golang.org/x/sync/errgroup"
)

// parallelRuns is how many runs in virtual time share the machine where their number is not given.
const parallelRuns = 4

// runParallel runs jobs, at most limit of them at once and begun in their order. After an error no further job begins.
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

// seedRange is a range of seeds, both ends included.
type seedRange struct {
	first, last int64
}

func (r seedRange) count() int64 { return r.last - r.first + 1 }

// forEach runs a job for each seed, so many at once, or as many as there are processors if workers is 0. After an
// error, or once the context ends, no further job begins.
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
