package launch

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"plumspindle/internal/testbed/syscallfaults"
)

// TestMain is also the dispatcher that runs as a process of its own, where a test has something done to the process.
func TestMain(m *testing.M) {
	if os.Getenv("PLUMSPINDLE_DISPATCHER") == "" {
		os.Exit(m.Run())
	}
	if err := Run(zerolog.New(os.Stderr), os.Getenv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// watched is discovery at one address: it tells of each watch that is opened, and keeps it.
type watched struct {
	address string
	opened  chan net.Conn
}

func newWatched(t *testing.T) *watched {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	w := &watched{address: ln.Addr().String(), opened: make(chan net.Conn, 100)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
				w.opened <- c
			}()
		}
	}()
	return w
}

func (w *watched) await(t *testing.T, what string) net.Conn {
	t.Helper()
	select {
	case c := <-w.opened:
		return c
	case <-time.After(6 * time.Second): // what discovery has counts as told by then
		t.Fatalf("not in 6 s: %s", what)
		return nil
	}
}

// TestDiscoveryWithoutDescriptors: a dispatcher whose clients hold all descriptors goes on hearing what discovery has to tell: it reads a
// new configuration, follows it, and opens a watch anew that was reset.
func TestDiscoveryWithoutDescriptors(t *testing.T) {
	before, after := newWatched(t), newWatched(t)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := free.Addr().String()
	free.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(config(listen, before.address, ""))
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), "PLUMSPINDLE_DISPATCHER=1", "BALANCER_CONFIG="+path)
	var logged strings.Builder
	child.Stderr = &logged
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = child.Process.Kill()
		_ = child.Wait()
		if t.Failed() {
			t.Log(logged.String())
		}
	})
	before.await(t, "the first watch")
	for end := time.Now().Add(10 * time.Second); ; { // until it listens, and has all descriptors that it needs
		c, err := net.Dial("tcp", listen)
		if err == nil {
			defer c.Close()
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	if err := syscallfaults.NoDescriptors(child.Process.Pid); err != nil {
		t.Fatal(err)
	}
	for range 20 { // they wait for a descriptor, and take any that is let go of
		c, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	write(config(listen, after.address, ""))
	if err := child.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	watch := after.await(t, "the watch at the new address")
	for range 3 {
		watch.Close()
		watch = after.await(t, "the watch that was reset")
	}
}
