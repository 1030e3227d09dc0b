package dispatch

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/store"
)

// When the folder in testdata was written, in microseconds since 1970. Its dispatcher was killed at intentsKilled; the
// windows are those of the standard deployment.
const (
	intentsKilled eventloop.Micros = 1796217380651553
	reviewPost                     = 600 * eventloop.Second
	buildNote                      = 5 * eventloop.Second
)

// storedRequest is one whose intent is in the folder.
type storedRequest struct {
	product string
	key     string
	tokens  int
	until   eventloop.Micros // its key is remembered, by a dispatcher that starts at intentsKilled
}

var storedRequests = []storedRequest{
	{"review-post", "ended before the snapshot", 5, 1796217970922933},
	{"build-note", "any", 3, 1796217381549450},
	{"review-post", "makes the lazy records durable", 3, 1796217976589874},
	{"review-post", "ended after the snapshot", 5, 1796217980260315},
	{"build-note", "ended in its window", 3, 1796217385300671},
	{"review-post", "cut off in its stream", 250, intentsKilled + reviewPost},
	{"build-note", "cut off in its window", 190, intentsKilled + buildNote},
}

// body is the request as it was sent when the folder was written; its digest is in the intent.
func (s storedRequest) body(tokens int) string {
	return fmt.Sprintf(`{"model": %q, "stream": true, "max_tokens": %d, "messages": [{"role": "user", "content": %q}]}`,
		s.product, tokens, "why "+s.key+"?")
}

// storedDisk is a copy in memory of the folder in testdata.
func storedDisk(t *testing.T, loop eventloop.Loop) *memoryDisk {
	t.Helper()
	const folder = "testdata/intents-v1"
	files, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	disk := &memoryDisk{loop: loop, files: map[string][]byte{}}
	for _, f := range files {
		if disk.files[f.Name()], err = os.ReadFile(folder + "/" + f.Name()); err != nil {
			t.Fatal(err)
		}
	}
	return disk
}

// startFromStored starts a dispatcher from the folder in testdata, at a time.
func startFromStored(t *testing.T, at eventloop.Micros) *harness {
	t.Helper()
	r := newHarness(t, nil, "prefill west", "decode west")
	loop := r.world.NewLoop("d.stored")
	loop.StepClock(at - loop.Now())
	r.list.SavedAt = int64(at)
	list, err := json.Marshal(r.list)
	if err != nil {
		t.Fatal(err)
	}
	disk := storedDisk(t, loop)
	r.startDispatcher(loop, func(config *Config) (err error) {
		config.Name, config.CachedEndpoints = "d.stored", [][]byte{list}
		config.Intents, err = store.Open(disk, store.DefaultLimits)
		return err
	})
	return r
}

// Each intent that an earlier version recorded is restored with its key, the digest of its request, and when it
// expires: until then a repeat is rejected as one that ran, another request under its key as a misuse, and after it the
// key is free.
func TestRecallsIntentsOfEarlierVersion(t *testing.T) {
	const around = 100 * eventloop.Millisecond // a request takes less to arrive
	for _, s := range storedRequests {
		t.Run(s.key, func(t *testing.T) {
			for _, ask := range []struct {
				at     eventloop.Micros
				key    string
				tokens int
				want   string
			}{
				{intentsKilled, s.key, s.tokens, "409"},
				{intentsKilled, s.key, s.tokens + 1, "422"},
				{intentsKilled, "never used", s.tokens, "streamed"},
				{s.until - around, s.key, s.tokens, "409"},
				{s.until + 1, s.key, s.tokens, "streamed"},
			} {
				r := startFromStored(t, intentsKilled)
				r.virtual().StepClock(ask.at - r.virtual().Now())
				r.expectFinal(r.send(s.body(ask.tokens), "Idempotency-Key", ask.key), ask.want)
			}
		})
	}
}

// A key whose time had passed before the start is free.
func TestForgetsIntentsOfEarlierVersionInTime(t *testing.T) {
	for _, s := range storedRequests {
		// What was cut off is remembered from the start on.
		if s.product != "build-note" || s.until == intentsKilled+buildNote {
			continue
		}
		r := startFromStored(t, s.until+1)
		r.expectFinal(r.send(s.body(s.tokens), "Idempotency-Key", s.key), "streamed")
	}
}
