// Package launch starts a dispatcher as the users' platform lays down: environment, configuration file, limits and signals.
package launch

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"plumspindle/internal/platform"
	"plumspindle/internal/settings"
)

// maxConfig is how many bytes a configuration may have.
const maxConfig = 64 << 20

// Environment is what the platform tells a dispatcher at its start.
type Environment struct {
	platform.Config
	Listen string
	Cores  float64
}

// Read takes the environment and the file that it names; every fault names its place.
func Read(getenv func(string) string) (*Environment, error) {
	path := getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("the variable BALANCER_CONFIG is not set")
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	if info.Size() > maxConfig {
		return nil, fmt.Errorf("%s: %d bytes are too many for a configuration", path, info.Size())
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	e, err := Parse(raw, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

// Parse takes a configuration's text. What it does not say, the environment may.
func Parse(raw []byte, getenv func(string) string) (*Environment, error) {
	if !gjson.ValidBytes(raw) || !gjson.ParseBytes(raw).IsObject() {
		return nil, errors.New("not a JSON object")
	}
	get := gjson.ParseBytes(raw).Get
	e := &Environment{Cores: get("limits.cores").Float()}
	for _, f := range []struct {
		to       *string
		key, env string
		address  bool
	}{{&e.Name, "name", "BALANCER_NAME", false}, {&e.Listen, "listen", "BALANCER_LISTEN", true}, {&e.Discovery, "discovery", "BALANCER_DISCOVERY", true}} {
		if *f.to = get(f.key).String(); *f.to == "" {
			*f.to = getenv(f.env)
		}
		if *f.to == "" {
			return nil, fmt.Errorf("%s: missing, and the variable %s is not set", f.key, f.env)
		}
		if !f.address {
			continue
		}
		if _, port, err := net.SplitHostPort(*f.to); err != nil {
			return nil, fmt.Errorf("%s: %w", f.key, err)
		} else if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
			return nil, fmt.Errorf("%s: %q names no port", f.key, *f.to)
		}
	}
	seed := get("seed").String()
	if n, err := strconv.ParseUint(seed, 16, 64); err == nil {
		e.Seed = int64(n)
	} else {
		e.Seed = int64(xxhash.Sum64String(seed + e.Name))
	}
	e.Memory, e.Sockets = int(get("limits.memory_mb").Int())<<20, int(get("limits.sockets").Int())
	if e.Memory < 0 || e.Sockets < 0 || e.Cores < 0 {
		return nil, errors.New("limits: below zero")
	}
	e.Memory, e.Sockets = orElse(e.Memory, 2048<<20), orElse(e.Sockets, 1024)
	rawSettings := get("settings")
	if !rawSettings.Exists() {
		return nil, errors.New("settings: missing")
	}
	var err error
	if e.Settings, err = settings.Parse([]byte(rawSettings.Raw)); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if known := get("known"); known.IsObject() {
		e.Known = []byte(known.Raw)
	}
	return e, nil
}

func orElse(n, usual int) int {
	if n > 0 {
		return n
	}
	return usual
}
