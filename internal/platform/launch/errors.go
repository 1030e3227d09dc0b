package launch

import (
	"errors"
	"fmt"
)

var (
	// ErrNoConfigVariable is the error for an environment that names no configuration file.
	ErrNoConfigVariable = errors.New("the variable " + configVariable + " is not set")
	// ErrNotObject is the error for a configuration file that is not a JSON object.
	ErrNotObject = errors.New("not a JSON object")
	// ErrTooLarge is the error for a configuration file that exceeds the size limit.
	ErrTooLarge = errors.New("configuration too large")
	// ErrMissing is the error for a required key that the file does not have.
	ErrMissing = errors.New("missing")
	// ErrNoPort is the error for an address without a port number from 1 to 65535.
	ErrNoPort = errors.New("has no valid port")
	// ErrNegative is the error for a negative limit.
	ErrNegative = errors.New("below zero")
)

// ConfigError is an error in the configuration and its location: a key, the file, or the variable that names the file.
type ConfigError struct {
	Location string
	Err      error
}

func (e *ConfigError) Error() string { return fmt.Sprintf("%s: %v", e.Location, e.Err) }

// Unwrap returns the underlying error.
func (e *ConfigError) Unwrap() error { return e.Err }
