package launch

import (
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"plumspindle/internal/jsonsyntax"
	"plumspindle/internal/platform"
	"plumspindle/internal/settings"
)

const (
	configVariable = "BALANCER_CONFIG"

	megabyte = 1 << 20
	// maxConfigFile is the maximum size of a configuration file, in bytes.
	maxConfigFile = 64 * megabyte

	// These limits apply if the configuration sets none.
	defaultMemory  = 2048 * megabyte
	defaultSockets = 1024
)

// Config is the configuration that the platform starts a dispatcher with.
type Config struct {
	platform.Config
	Listen string  // address for clients
	Cores  float64 // CPU limit; 0 if the configuration sets none
}

// Load reads the configuration file that the environment names. Its error is ErrNoConfigVariable, or a *ConfigError
// whose text is one line with the location and the cause.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv(configVariable)
	if path == "" {
		return nil, ErrNoConfigVariable
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, &ConfigError{Location: configVariable, Err: err}
	}
	if info.Size() > maxConfigFile {
		return nil, &ConfigError{Location: path, Err: fmt.Errorf("%d bytes: %w", info.Size(), ErrTooLarge)}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &ConfigError{Location: configVariable, Err: err}
	}
	config, err := Parse(raw, getenv)
	if err != nil {
		return nil, &ConfigError{Location: path, Err: err}
	}
	return config, nil
}

// Parse decodes the text of a configuration file. A name or address that the file omits is read from the environment.
func Parse(raw []byte, getenv func(string) string) (*Config, error) {
	root := gjson.ParseBytes(raw)
	if !jsonsyntax.Valid(raw) || !root.IsObject() {
		return nil, ErrNotObject
	}
	config := &Config{}
	if err := config.parseNames(root, getenv); err != nil {
		return nil, err
	}
	if err := config.parseLimits(root.Get("limits")); err != nil {
		return nil, err
	}
	if err := config.parseSettings(root.Get("settings")); err != nil {
		return nil, err
	}
	config.Seed = parseSeed(root.Get("seed").String(), config.Name)
	if known := root.Get("known"); known.IsObject() {
		config.CachedList = []byte(known.Raw)
	}
	return config, nil
}

// parseNames reads the dispatcher's name and the addresses.
func (c *Config) parseNames(root gjson.Result, getenv func(string) string) error {
	for _, field := range []struct {
		value         *string
		key, variable string
		isAddress     bool
	}{
		{&c.Name, "name", "BALANCER_NAME", false},
		{&c.Listen, "listen", "BALANCER_LISTEN", true},
		{&c.Discovery, "discovery", "BALANCER_DISCOVERY", true},
	} {
		value := root.Get(field.key).String()
		if value == "" {
			value = getenv(field.variable)
		}
		if value == "" {
			err := fmt.Errorf("%w, and the variable %s is not set", ErrMissing, field.variable)
			return &ConfigError{Location: field.key, Err: err}
		}
		if field.isAddress {
			if err := checkAddress(value); err != nil {
				return &ConfigError{Location: field.key, Err: err}
			}
		}
		*field.value = value
	}
	return nil
}

func checkAddress(address string) error {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 {
		return fmt.Errorf("%q %w", address, ErrNoPort)
	}
	return nil
}

func (c *Config) parseLimits(limits gjson.Result) error {
	memory := limits.Get("memory_mb").Int()
	sockets := limits.Get("sockets").Int()
	c.Cores = limits.Get("cores").Float()
	c.Memory = int(memory) * megabyte
	c.Sockets = int(sockets)
	if c.Memory < 0 || c.Sockets < 0 || c.Cores < 0 {
		return &ConfigError{Location: "limits", Err: ErrNegative}
	}
	if c.Memory == 0 {
		c.Memory = defaultMemory
	}
	if c.Sockets == 0 {
		c.Sockets = defaultSockets
	}
	return nil
}

func (c *Config) parseSettings(section gjson.Result) error {
	if !section.Exists() {
		return &ConfigError{Location: "settings", Err: ErrMissing}
	}
	parsed, err := settings.Parse([]byte(section.Raw))
	if err != nil {
		return &ConfigError{Location: "settings", Err: err}
	}
	c.Settings = parsed
	return nil
}

// parseSeed decodes a hexadecimal seed. From any other text it derives a seed that differs between dispatchers.
func parseSeed(text, name string) int64 {
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		seed = xxhash.Sum64String(text + name)
	}
	return int64(seed)
}
