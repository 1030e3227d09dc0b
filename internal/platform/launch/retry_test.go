package launch

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
)

// TestRetryOnlyTransientErrors checks that retry calls again after a transient error, and returns any other at once.
func TestRetryOnlyTransientErrors(t *testing.T) {
	transient := fmt.Errorf("open: %w", syscall.ENFILE)
	permanent := errors.New("not JSON")
	for name, test := range map[string]struct {
		results []error
		want    error
	}{
		"success":         {[]error{nil}, nil},
		"transient twice": {[]error{transient, transient, nil}, nil},
		"permanent":       {[]error{permanent}, permanent},
		"permanent later": {[]error{transient, permanent}, permanent},
	} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			err := retry(func() error {
				calls++
				return test.results[calls-1]
			})
			if !errors.Is(err, test.want) || calls != len(test.results) {
				t.Errorf("%v after %d calls", err, calls)
			}
		})
	}
}
