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

	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/syscallfaults"
)

// echo is the process of its own that meets faults of system calls: it sends back what comes, and prints where it listens.
func echo() {
	l, err := Start()
	if err != nil {
		fmt.Println(err)
		return
	}
	l.Do(func() {
		ln, err := l.Listen("127.0.0.1:0", func(c eventloop.Conn) eventloop.Handler {
			return &ear{conn: c, closed: make(chan error, 1), onData: func(e *ear) {
				e.conn.Write(e.data)
				e.data = nil
			}}
		})
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(ln.Addr())
	})
	_, _ = io.Copy(io.Discard, os.Stdin) // until the test ends
}

// startEcho starts that process and returns its address.
func startEcho(t *testing.T, faults syscallfaults.Faults) string {
	t.Helper()
	library, err := syscallfaults.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), append(faults.Environment(library), "PLUMSPINDLE_ECHO=1")...)
	child.Stderr = os.Stderr
	in, _ := child.StdinPipe()
	out, _ := child.StdoutPipe()
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { in.Close(); _ = child.Wait() })
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatalf("the echo did not start: %q, %v", line, err)
	}
	return strings.TrimSpace(line)
}

// exchange sends messages and reads them back, one after the other, on several connections at once.
func exchange(t *testing.T, address string, connections, messages, size int) {
	t.Helper()
	var group sync.WaitGroup
	defer group.Wait()
	for i := range connections {
		group.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			sent, back := bytes.Repeat([]byte{byte('a' + i)}, size), make([]byte, size)
			for n := range messages {
				go func() { _, _ = c.Write(sent) }()
				if got, err := io.ReadFull(c, back); err != nil || !bytes.Equal(sent, back) {
					t.Errorf("connection %d, message %d: %d bytes of %d came back: %v", i, n, got, size, err)
					return
				}
			}
		})
	}
}

// Reads and writes may take less than they could, and be interrupted: what is left is read and written all the same.
func TestShortReadsAndWrites(t *testing.T) {
	for name, faults := range map[string]syscallfaults.Faults{
		"none":        {},
		"short":       {Seed: 1, Short: 200},
		"interrupted": {Seed: 2, Interrupted: 200},
		"both":        {Seed: 3, Short: 200, Interrupted: 100},
	} {
		t.Run(name, func(t *testing.T) { exchange(t, startEcho(t, faults), 4, 20, 40<<10) })
	}
}
