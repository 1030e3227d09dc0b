package launch

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"plumspindle/internal/testbed/syscallfaults"
)

// dispatcherVariable makes the test binary a dispatcher.
const dispatcherVariable = "PLUMSPINDLE_DISPATCHER"

// TestMain is also the dispatcher that runs as a process of its own, where a test has something done to the process.
func TestMain(m *testing.M) {
	if os.Getenv(dispatcherVariable) == "" {
		os.Exit(m.Run())
	}
	if err := Run(zerolog.New(os.Stderr), os.Getenv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// watchedAgent is discovery at one address: it hands over each watch that is opened, and keeps it open.
type watchedAgent struct {
	address string
	opened  chan net.Conn
}

func newWatchedAgent(t *testing.T) *watchedAgent {
	t.Helper()
	listener := listenTCP(t)
	a := &watchedAgent{address: listener.Addr().String(), opened: make(chan net.Conn, 100)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go a.respond(conn)
		}
	}()
	return a
}

func (a *watchedAgent) respond(conn net.Conn) {
	if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
	a.opened <- conn
}

// await waits for the next watch; what discovery has counts as known after that time.
func (a *watchedAgent) await(t *testing.T, what string) net.Conn {
	t.Helper()
	const limit = 6 * time.Second
	select {
	case conn := <-a.opened:
		return conn
	case <-time.After(limit):
		t.Fatalf("not in %v: %s", limit, what)
		return nil
	}
}

// startDispatcher runs a dispatcher as a process of its own until the test ends.
func startDispatcher(t *testing.T, file *configFile) *os.Process {
	t.Helper()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), dispatcherVariable+"=1", configVariable+"="+file.path)
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
	return child.Process
}

// connect opens a client's connection and keeps it until the test ends.
func connect(t *testing.T, address string) error {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	t.Cleanup(func() { _ = conn.Close() })
	return nil
}

// TestFollowsDiscoveryWithoutFreeDescriptors: a dispatcher whose clients occupy all descriptors still follows
// discovery: it reads a new configuration, follows it, and opens a watch anew that was reset.
func TestFollowsDiscoveryWithoutFreeDescriptors(t *testing.T) {
	before, after := newWatchedAgent(t), newWatchedAgent(t)
	listen := freeAddress(t)
	file := newConfigFile(t, configText(listen, before.address, ""))
	process := startDispatcher(t, file)
	before.await(t, "the first watch")
	// Until it listens, and has all descriptors that it needs.
	eventually(t, "a connection", func() bool { return connect(t, listen) == nil })
	if err := syscallfaults.NoDescriptors(process.Pid); err != nil {
		t.Fatal(err)
	}
	const clients = 20 // they wait for a descriptor, and take any that becomes free
	for range clients {
		if err := connect(t, listen); err != nil {
			t.Fatal(err)
		}
	}
	file.write(t, configText(listen, after.address, ""))
	if err := process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	watch := after.await(t, "the watch at the new address")
	for range 3 {
		if err := watch.Close(); err != nil {
			t.Fatal(err)
		}
		watch = after.await(t, "the watch that was reset")
	}
}
