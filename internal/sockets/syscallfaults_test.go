package sockets

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"plumspindle/internal/testbed/syscallfaults"
)

// serveEcho is the main function of the process into whose system calls faults are injected. It prints its address and
// sends back the bytes that it receives.
func serveEcho() {
	l, err := Start()
	if err != nil {
		fmt.Println(err)
		return
	}
	l.Do(func() {
		ln, err := l.Listen("127.0.0.1:0", accept(func(r *recorder) {
			r.conn.Write(r.data)
			r.data = nil
		}))
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(ln.Addr())
	})
	_, _ = io.Copy(io.Discard, os.Stdin) // returns when the test ends
}

// startEcho starts the echo process with injected faults and returns its address.
func startEcho(t *testing.T, faults syscallfaults.Faults) string {
	t.Helper()
	library, err := syscallfaults.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	variables := append(faults.Environment(library), echoVariable+"=1")
	_, out := startServerProcess(t, variables...)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatalf("the echo process did not start: %q, %v", line, err)
	}
	return strings.TrimSpace(line)
}

// startServerProcess starts this test binary as a separate server process. The process ends when its standard input is
// closed.
func startServerProcess(t *testing.T, variables ...string) (in io.Writer, out io.Reader) {
	t.Helper()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), variables...)
	child.Stderr = os.Stderr
	input, err := child.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	output, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = input.Close()
		_ = child.Wait()
	})
	return input, output
}

// exchange sends messages on several connections concurrently. On each connection it reads a message back before it
// sends the next.
func exchange(t *testing.T, addr string) {
	t.Helper()
	const connections, messages, size = 4, 20, 40 << 10
	var group sync.WaitGroup
	defer group.Wait()
	for i := range connections {
		group.Go(func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			sent, back := bytes.Repeat([]byte{byte('a' + i)}, size), make([]byte, size)
			for message := range messages {
				go func() { _, _ = c.Write(sent) }()
				if n, err := io.ReadFull(c, back); err != nil || !bytes.Equal(sent, back) {
					t.Errorf("connection %d, message %d: %d of %d bytes came back: %v", i, message, n, size, err)
					return
				}
			}
		})
	}
}

// Reads and writes must be repeated when system calls transfer fewer bytes than they could, or are interrupted.
func TestShortAndInterruptedSystemCallsAreRepeated(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults syscallfaults.Faults
	}{
		{"none", syscallfaults.Faults{}},
		{"short", syscallfaults.Faults{Seed: 1, Short: 200}},
		{"interrupted", syscallfaults.Faults{Seed: 2, Interrupted: 200}},
		{"both", syscallfaults.Faults{Seed: 3, Short: 200, Interrupted: 100}},
	} {
		t.Run(test.name, func(t *testing.T) { exchange(t, startEcho(t, test.faults)) })
	}
}
