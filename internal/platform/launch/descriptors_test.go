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

// dispatcherVariable is the environment variable that makes the test binary run a dispatcher instead of the tests.
const dispatcherVariable = "PLUMSPINDLE_DISPATCHER"

// TestMain runs the tests, or a dispatcher for a test that needs one in a separate process.
func TestMain(m *testing.M) {
	if os.Getenv(dispatcherVariable) == "" {
		os.Exit(m.Run())
	}
	if err := Run(zerolog.New(os.Stderr), os.Getenv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// discoveryAgent is a discovery agent that responds to each subscription, passes its connection to the test and keeps
// it open.
type discoveryAgent struct {
	address string
	opened  chan net.Conn
}

func newDiscoveryAgent(t *testing.T) *discoveryAgent {
	t.Helper()
	listener := listenTCP(t)
	a := &discoveryAgent{address: listener.Addr().String(), opened: make(chan net.Conn, 100)}
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

func (a *discoveryAgent) respond(conn net.Conn) {
	if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
	a.opened <- conn
}

// await waits for the next subscription, for at most the 6 s within which a dispatcher must know what discovery sends.
func (a *discoveryAgent) await(t *testing.T, what string) net.Conn {
	t.Helper()
	const limit = 6 * time.Second
	select {
	case conn := <-a.opened:
		return conn
	case <-time.After(limit):
		t.Fatalf("timed out after %v waiting for %s", limit, what)
		return nil
	}
}

// startDispatcher runs a dispatcher in a separate process until the test ends.
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

// connect opens a client connection and keeps it open until the test ends.
func connect(t *testing.T, address string) error {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	t.Cleanup(func() { _ = conn.Close() })
	return nil
}

// TestFollowsDiscoveryWithoutFreeDescriptors checks that a dispatcher still follows discovery when its clients have
// taken all file descriptors: it reads a new configuration, subscribes at the new address, and subscribes again after
// the connection is closed.
func TestFollowsDiscoveryWithoutFreeDescriptors(t *testing.T) {
	before, after := newDiscoveryAgent(t), newDiscoveryAgent(t)
	listen := freeAddress(t)
	file := newConfigFile(t, configText(listen, before.address, ""))
	process := startDispatcher(t, file)
	before.await(t, "the first subscription")
	// Once the dispatcher accepts a connection, it listens and has opened all descriptors that it needs.
	eventually(t, "a connection", func() bool { return connect(t, listen) == nil })
	if err := syscallfaults.PreventNewDescriptors(process.Pid); err != nil {
		t.Fatal(err)
	}
	const clients = 20 // these wait for a descriptor, and take each that becomes free
	for range clients {
		if err := connect(t, listen); err != nil {
			t.Fatal(err)
		}
	}
	file.write(t, configText(listen, after.address, ""))
	if err := process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	subscription := after.await(t, "the subscription at the new address")
	for range 3 {
		if err := subscription.Close(); err != nil {
			t.Fatal(err)
		}
		subscription = after.await(t, "the subscription after the connection was closed")
	}
}
