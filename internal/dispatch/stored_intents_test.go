package dispatch

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/store"
)

// intentsKilledAt is when the dispatcher that wrote the folder in testdata was killed, in microseconds since 1970. The
// two windows are those of the products review-post and build-note in the standard deployment.
const (
	intentsKilledAt  eventloop.Micros = 1796217380651553
	reviewPostWindow                  = 600 * eventloop.Second
	buildNoteWindow                   = 5 * eventloop.Second
)

// storedRequest is a request whose intent is stored in the folder.
type storedRequest struct {
	product   string
	key       string
	tokens    int
	expiresAt eventloop.Micros // when the key expires in a dispatcher that starts at intentsKilledAt
}

var storedRequests = []storedRequest{
	{"review-post", "ended before the snapshot", 5, 1796217970922933},
	{"build-note", "any", 3, 1796217381549450},
	{"review-post", "makes the lazy records durable", 3, 1796217976589874},
	{"review-post", "ended after the snapshot", 5, 1796217980260315},
	{"build-note", "ended in its window", 3, 1796217385300671},
	{"review-post", "cut off in its stream", 250, intentsKilledAt + reviewPostWindow},
	{"build-note", "cut off in its window", 190, intentsKilledAt + buildNoteWindow},
}

// body returns the request's body as it was sent when the folder was written. The stored intent has the digest of this
// request.
func (s storedRequest) body(tokens int) string {
	return fmt.Sprintf(`{"model": %q, "stream": true, "max_tokens": %d, "messages": [{"role": "user", "content": %q}]}`,
		s.product, tokens, "why "+s.key+"?")
}

// storedDisk returns a copy of the folder in testdata on a disk in memory.
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

// startFromStored starts a dispatcher with the intents from the folder in testdata, at the given time.
func startFromStored(t *testing.T, at eventloop.Micros) *harness {
	t.Helper()
	r := newHarness(t, nil, "prefill west", "decode west")
	loop := r.network.NewLoop("d.stored")
	loop.StepClock(at - loop.Now())
	r.list.SavedAt = int64(at)
	list, err := json.Marshal(r.list)
	if err != nil {
		t.Fatal(err)
	}
	disk := storedDisk(t, loop)
	r.startDispatcher(loop, func(config *Config) (err error) {
		config.Name, config.CachedEndpoints = "d.stored", [][]byte{list}
		config.IntentStore, err = store.Open(disk, store.DefaultLimits)
		return err
	})
	return r
}

// Each intent that an earlier version recorded is restored with its key, the digest of its request and its expiry.
// Until the intent expires, a repeat is rejected because the request ran, and another request with the key is rejected
// because the key was reused. Afterwards the key is free.
func TestRecallsIntentsOfEarlierVersion(t *testing.T) {
	const margin = 100 * eventloop.Millisecond // a request takes less time than this to arrive
	for _, s := range storedRequests {
		t.Run(s.key, func(t *testing.T) {
			for _, ask := range []struct {
				at     eventloop.Micros
				key    string
				tokens int
				want   string
			}{
				{intentsKilledAt, s.key, s.tokens, "409"},
				{intentsKilledAt, s.key, s.tokens + 1, "422"},
				{intentsKilledAt, "never used", s.tokens, "streamed"},
				{s.expiresAt - margin, s.key, s.tokens, "409"},
				{s.expiresAt + 1, s.key, s.tokens, "streamed"},
			} {
				r := startFromStored(t, intentsKilledAt)
				r.virtual().StepClock(ask.at - r.virtual().Now())
				r.expectFinal(r.send(s.body(ask.tokens), "Idempotency-Key", ask.key), ask.want)
			}
		})
	}
}

// A key that expired before the dispatcher starts is free.
func TestForgetsIntentsOfEarlierVersionInTime(t *testing.T) {
	for _, s := range storedRequests {
		// The window of a request that was running at the kill starts when the dispatcher starts.
		if s.product != "build-note" || s.expiresAt == intentsKilledAt+buildNoteWindow {
			continue
		}
		r := startFromStored(t, s.expiresAt+1)
		r.expectFinal(r.send(s.body(s.tokens), "Idempotency-Key", s.key), "streamed")
	}
}
