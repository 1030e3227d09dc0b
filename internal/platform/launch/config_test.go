package launch

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"plumspindle/internal/settings"
)

const testSettings = `{"group_size": 1, "tick": 4000000, "zone": 0, "localities": ["west"],
"host_types": ["prefill", "decode"],
"domain": {"duty_by_kind": ["read", "write"], "kv_tokens": [200000, 140000], "let_go_by": 500000000},
"limits": {"send_cap": 6, "may_cancel": true, "connect_timeout": 250000000, "conn_idle": 30000000000},
"obligations": {"cold": 14000000000, "cold_from": 0.25, "fall": 2000000000, "fall_multiple": 2.5},
"request_classes": [{"name": "explain", "aim": 1000000000, "deadline": 4000000000, "repeat": "read_like",
	"points": 2.0}]}`

// configText returns a valid configuration. The parameter known holds the entries of the list that discovery sent to an
// earlier process.
func configText(listen, discovery, known string) string {
	return fmt.Sprintf(`{"name":"n3","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":64,"sockets":256},
"known":{"version":41,"full":true,"servers":[%s]},"settings":%s}`, listen, discovery, known, testSettings)
}

func noEnvironment(string) string { return "" }

func TestParseReadsConfiguration(t *testing.T) {
	known := `{"id":"s-1"}`
	text := strings.Replace(configText("127.0.0.1:7070", "", known), `"name":"n3",`, "", 1)
	config, err := Parse([]byte(text), func(variable string) string {
		return map[string]string{"BALANCER_NAME": "n4", "BALANCER_DISCOVERY": "127.0.0.1:8500"}[variable]
	})
	if err != nil {
		t.Fatal(err)
	}
	if config.Name != "n4" || config.Listen != "127.0.0.1:7070" || config.Discovery != "127.0.0.1:8500" {
		t.Errorf("name %q, listen %q, discovery %q", config.Name, config.Listen, config.Discovery)
	}
	if config.Cores != 1 || config.Memory != 64*megabyte || config.Sockets != 256 {
		t.Errorf("%v cores, %d bytes, %d sockets", config.Cores, config.Memory, config.Sockets)
	}
	if uint64(config.Seed) != 0x8c1f30d27a5be964 || !strings.Contains(string(config.CachedList), known) {
		t.Errorf("seed %x, known %s", uint64(config.Seed), config.CachedList)
	}
	if len(config.Settings.Classes) != 1 || config.Settings.Classes[0] != "explain" {
		t.Errorf("settings %+v", config.Settings)
	}
}

// TestFaultyConfigurationIsNamed checks that the error for an invalid configuration is one line with location and
// cause.
func TestFaultyConfigurationIsNamed(t *testing.T) {
	good := configText("127.0.0.1:7070", "127.0.0.1:8500", "")
	replace := func(old, new string) string { return strings.Replace(good, old, new, 1) }
	for name, test := range map[string]struct {
		text, want string
		cause      error // nil if the cause is not checked, because another package does not export it
	}{
		"not JSON": {good[:len(good)-1], "not a JSON object", ErrNotObject},
		"no listen": {
			replace(`"listen"`, `"listens"`), "listen: missing, and the variable BALANCER_LISTEN is not set", ErrMissing,
		},
		"no port": {replace("127.0.0.1:7070", "127.0.0.1"), "listen: address 127.0.0.1: missing port", nil},
		"port 0": {
			replace("127.0.0.1:8500", "127.0.0.1:0"), `discovery: "127.0.0.1:0" has no valid port`, ErrNoPort,
		},
		"negative limit": {replace(`"sockets":256`, `"sockets":-1`), "limits: below zero", ErrNegative},
		"no settings":    {replace(`"settings"`, `"setting"`), "settings: missing", ErrMissing},
		"unknown duty": {
			replace(`"read", "write"`, `"read", "wrote"`),
			`settings: duty_by_kind 1: unknown duty "wrote"`, settings.ErrUnknownValue,
		},
		"settings not an object": {
			replace(`"settings":{`, `"settings":"x","s":{`),
			"settings: the start settings are not a JSON object", settings.ErrNotObject,
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(test.text), noEnvironment)
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want one line with %q", err, test.want)
			}
			if test.cause != nil && !errors.Is(err, test.cause) {
				t.Errorf("error %v is not %v", err, test.cause)
			}
		})
	}
}

func TestConfigurationFileThatCannotBeUsedIsNamed(t *testing.T) {
	_, err := Load(noEnvironment)
	if !errors.Is(err, ErrNoConfigVariable) || !strings.Contains(err.Error(), "BALANCER_CONFIG") {
		t.Errorf("without the variable: %v", err)
	}
	path := filepath.Join(t.TempDir(), "none.json")
	environment := func(string) string { return path }
	_, err = Load(environment)
	if !errors.Is(err, fs.ErrNotExist) || !strings.Contains(err.Error(), "none.json") {
		t.Errorf("without the file: %v", err)
	}
	if err := os.WriteFile(path, []byte("nonsense"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = Load(environment)
	var configError *ConfigError
	if !errors.As(err, &configError) || configError.Location != path || !errors.Is(err, ErrNotObject) {
		t.Errorf("with nonsense in the file: %v", err)
	}
	if err := os.Truncate(path, maxConfigFile+1); err != nil {
		t.Fatal(err)
	}
	if _, err = Load(environment); !errors.Is(err, ErrTooLarge) {
		t.Errorf("with too large a file: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(configText("127.0.0.1:7070", "127.0.0.1:8500", ""))
	f.Fuzz(func(t *testing.T, text string) {
		if config, err := Parse([]byte(text), noEnvironment); (config == nil) == (err == nil) {
			t.Errorf("%v, %v", config, err)
		}
	})
}
