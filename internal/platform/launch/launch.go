// Package launch starts a dispatcher as the users' platform lays down: environment, configuration file, limits and signals.
package launch

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/platform"
	"plumspindle/internal/settings"
	"plumspindle/internal/sockets"
)

const (
	standEvery = 5 * eventloop.Second
	configMost = 64 << 20
)

// Berth is what the platform tells a dispatcher.
type Berth struct {
	platform.Post
	Listen string
	Cores  float64
}

// Read takes the environment and the file that it names; every fault names its place.
func Read(getenv func(string) string) (*Berth, error) {
	path := getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("the variable BALANCER_CONFIG is not set")
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	if info.Size() > configMost {
		return nil, fmt.Errorf("%s: %d bytes are too many for a configuration", path, info.Size())
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	b, err := Parse(raw, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return b, nil
}

// Parse takes a configuration's text. What it does not say, the environment may.
func Parse(raw []byte, getenv func(string) string) (*Berth, error) {
	if !gjson.ValidBytes(raw) || !gjson.ParseBytes(raw).IsObject() {
		return nil, errors.New("not a JSON object")
	}
	get := gjson.ParseBytes(raw).Get
	b := &Berth{Cores: get("limits.cores").Float()}
	for _, f := range []struct {
		to       *string
		key, env string
		address  bool
	}{{&b.Name, "name", "BALANCER_NAME", false}, {&b.Listen, "listen", "BALANCER_LISTEN", true}, {&b.Discovery, "discovery", "BALANCER_DISCOVERY", true}} {
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
		b.Seed = int64(n)
	} else {
		b.Seed = int64(xxhash.Sum64String(seed + b.Name))
	}
	b.Memory, b.Sockets = int(get("limits.memory_mb").Int())<<20, int(get("limits.sockets").Int())
	if b.Memory < 0 || b.Sockets < 0 || b.Cores < 0 {
		return nil, errors.New("limits: below zero")
	}
	b.Memory, b.Sockets = orElse(b.Memory, 2048<<20), orElse(b.Sockets, 1024)
	rawSettings := get("settings")
	if !rawSettings.Exists() {
		return nil, errors.New("settings: missing")
	}
	var err error
	if b.Terms, err = settings.Read([]byte(rawSettings.Raw)); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if known := get("known"); known.IsObject() {
		b.Known = []byte(known.Raw)
	}
	return b, nil
}

func orElse(n, usual int) int {
	if n > 0 {
		return n
	}
	return usual
}

// keep sets what the runtime may use. The limit holds for all of the process; its code, stacks, and what sockets and the collector
// have under way need a part of their own.
func (b *Berth) keep() {
	runtime.GOMAXPROCS(max(1, int(b.Cores+0.99)))
	debug.SetMemoryLimit(int64(b.Memory) * 6 / 10)
}

// Run serves until the platform ends it.
func Run(log zerolog.Logger, getenv func(string) string) error {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	b, err := Read(getenv)
	if err != nil {
		return err
	}
	b.keep()
	log = log.With().Str("dispatcher", b.Name).Logger()
	b.Log = log
	loop, err := sockets.Start()
	if err != nil {
		return err
	}
	defer loop.Stop()
	loop.Anywhere = true
	loop.TakeIn = min(max(b.Memory/4/b.Sockets, 8<<10), 128<<10)
	loop.Busy = http1.AppendResponse(nil, 503, []byte("no connection is left for it\n"), "Connection", "close", "Content-Type", "text/plain")
	var x *platform.Dispatcher
	var ln eventloop.Listener
	loop.Do(func() {
		x = platform.Start(loop, b.Post)
		ln, err = loop.Listen(b.Listen, x.Door().Accept)
	})
	if err != nil {
		return err
	}
	for i, p := range b.Terms.Place.Products {
		log.Info().Str("product", b.Terms.Products[i]).Int("effect", int(p.Effect)).Int("group", int(p.Group)).Int64("window", int64(p.Window)).
			Int64("slo", int64(p.SLO)).Msg("a product")
	}
	log.Info().Str("listen", b.Listen).Str("discovery", b.Discovery).Float64("cores", b.Cores).Int("memory", b.Memory).Int("sockets", b.Sockets).
		Int("dispatchers", b.Terms.Place.Dispatchers).Msg("serving")
	var stand func()
	stand = func() {
		log.Info().Msg(x.Standing())
		loop.After(standEvery, stand)
	}
	loop.Post(func() { loop.After(standEvery, stand) })
	ended := make(chan struct{})
	leaving := false
	for {
		select {
		case s := <-signals:
			switch {
			case s == syscall.SIGHUP:
				again, err := Read(getenv)
				if err != nil {
					log.Error().Err(err).Msg("the configuration is not taken; the one before stands")
					continue
				}
				log.Info().Str("discovery", again.Discovery).Msg("the configuration was read again")
				loop.Post(func() { x.Move(again.Discovery) })
			case !leaving:
				leaving = true
				log.Info().Msg("leaving: what was taken is answered")
				loop.Post(func() { x.Leave(ln.Close, func() { close(ended) }) })
			}
		case <-ended:
			loop.Do(func() { log.Info().Msg("left; " + x.Standing()) })
			return nil
		}
	}
}
