package launch

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
)

// TestRetryOnlyTransientErrors: a shortage that may pass is retried, anything else ends it at once.
func TestRetryOnlyTransientErrors(t *testing.T) {
	passing := fmt.Errorf("open: %w", syscall.ENFILE)
	lasting := errors.New("not JSON")
	for name, test := range map[string]struct {
		results []error
		want    error
	}{
		"success":         {[]error{nil}, nil},
		"transient twice": {[]error{passing, passing, nil}, nil},
		"lasting":         {[]error{lasting}, lasting},
		"lasting later":   {[]error{passing, lasting}, lasting},
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
