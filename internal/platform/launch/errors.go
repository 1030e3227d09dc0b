package launch

import (
	"errors"
	"fmt"
)

var (
	// ErrNoConfigVariable is an environment that names no configuration file.
	ErrNoConfigVariable = errors.New("the variable " + configVariable + " is not set")
	// ErrNotObject is a configuration file that is no JSON object.
	ErrNotObject = errors.New("not a JSON object")
	// ErrTooLarge is a configuration file beyond the size limit.
	ErrTooLarge = errors.New("too many for a configuration")
	// ErrMissing is a needed key that the file does not have.
	ErrMissing = errors.New("missing")
	// ErrNoPort is an address whose port can't be used.
	ErrNoPort = errors.New("names no port")
	// ErrNegative is a limit below zero.
	ErrNegative = errors.New("below zero")
)

// ConfigError is a fault of the configuration and its place: a key, the file, or the variable that names the file.
type ConfigError struct {
	Place string
	Fault error
}

func (e *ConfigError) Error() string { return fmt.Sprintf("%s: %v", e.Place, e.Fault) }

// Unwrap returns the fault.
func (e *ConfigError) Unwrap() error { return e.Fault }
