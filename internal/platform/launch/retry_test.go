package launch

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestAddressInUseForAMoment: a dispatcher whose address is still held by the process before listens once that is gone.
func TestAddressInUseForAMoment(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config(taken.Addr().String(), "127.0.0.1:1", "")), 0o600); err != nil {
		t.Fatal(err)
	}
	serving, ended := make(chan bool, 1), make(chan error, 1)
	log := zerolog.New(io.Discard).Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, text string) {
		switch {
		case strings.HasPrefix(text, "can't listen"):
			taken.Close()
		case text == "serving":
			serving <- true
		}
	}))
	go func() { ended <- Run(log, func(string) string { return path }) }()
	select {
	case <-serving:
	case err := <-ended:
		t.Fatalf("ended with %v", err)
	case <-time.After(10 * time.Second):
		t.Fatal("it does not serve")
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	awaitEnd(t, ended)
}

// TestRetry: what may pass is tried again, for a while; anything else ends it at once.
func TestRetry(t *testing.T) {
	passing, lasting := fmt.Errorf("open: %w", syscall.ENFILE), errors.New("not JSON")
	calls := 0
	if err := retry(func() error {
		if calls++; calls < 3 {
			return passing
		}
		return nil
	}); err != nil || calls != 3 {
		t.Errorf("%v after %d calls", err, calls)
	}
	calls = 0
	if err := retry(func() error { calls++; return lasting }); err != lasting || calls != 1 {
		t.Errorf("%v after %d calls", err, calls)
	}
}
