package sockets

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// serveWithFewDescriptors is the process that runs out of descriptors: it answers each connection with its first bytes,
// and obeys commands on its standard input, each with a line of output. "free N" leaves so many descriptors, "free"
// restores the limit, "fds" prints how many are open, "cpu" how many milliseconds the process has worked; "respond N"
// has it reject connections with a whole response, so many at once.
func serveWithFewDescriptors() {
	l, err := Start()
	if err != nil {
		fmt.Println(err)
		return
	}
	l.OverloadResponse = []byte("busy")
	l.Do(func() {
		ln, err := l.Listen("127.0.0.1:0", accept(func(r *recorder) {
			r.conn.Write(r.data)
			r.conn.Close()
		}))
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(ln.Addr())
	})
	var limit syscall.Rlimit
	_ = syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)
	for commands := bufio.NewScanner(os.Stdin); commands.Scan(); {
		switch command := commands.Text(); command {
		case "fds":
			fmt.Println(len(openDescriptors()))
		case "cpu":
			var usage syscall.Rusage
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
			fmt.Println((usage.Utime.Nano() + usage.Stime.Nano()) / time.Millisecond.Nanoseconds())
		case "free":
			_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
			fmt.Println("ok")
		default:
			atOnce := 0
			if _, err := fmt.Sscanf(command, "respond %d", &atOnce); err == nil {
				l.Do(func() { l.OverloadResponse, l.rejections.max = []byte(overloadResponse), atOnce })
				fmt.Println("ok")
				continue
			}
			free := 0
			_, _ = fmt.Sscanf(command, "free %d", &free)
			_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limitThatLeaves(free), Max: limit.Max})
			fmt.Println("ok")
		}
	}
}

func openDescriptors() map[int]bool {
	open := map[int]bool{}
	entries, _ := os.ReadDir("/proc/self/fd")
	for _, entry := range entries {
		if _, err := os.Readlink("/proc/self/fd/" + entry.Name()); err != nil {
			continue // the directory's own
		}
		fd := 0
		if _, err := fmt.Sscan(entry.Name(), &fd); err == nil {
			open[fd] = true
		}
	}
	return open
}

// limitThatLeaves returns the limit of descriptors with which so many are free.
func limitThatLeaves(free int) uint64 {
	open := openDescriptors()
	for limit := 0; ; limit++ {
		switch {
		case open[limit]:
		case free == 0:
			return uint64(limit)
		default:
			free--
		}
	}
}

// limitedServer is a process that serves with few descriptors.
type limitedServer struct {
	t     *testing.T
	addr  string
	in    io.Writer
	lines *bufio.Scanner
}

func startLimitedServer(t *testing.T) *limitedServer {
	t.Helper()
	in, out := startServerProcess(t, fewDescriptorsVariable+"=1")
	s := &limitedServer{t: t, in: in, lines: bufio.NewScanner(out)}
	s.addr = s.readLine()
	return s
}

func (s *limitedServer) readLine() string {
	s.t.Helper()
	if !s.lines.Scan() {
		s.t.Fatal("the process has ended")
	}
	return s.lines.Text()
}

// command sends a command and returns the number that it prints.
func (s *limitedServer) command(format string, args ...any) (n int) {
	s.t.Helper()
	if _, err := fmt.Fprintf(s.in, format+"\n", args...); err != nil {
		s.t.Fatal(err)
	}
	_, _ = fmt.Sscan(s.readLine(), &n)
	return n
}

// ask sends a few bytes on a connection of its own and returns the answer, or the text of an error.
func (s *limitedServer) ask() string {
	c, err := net.DialTimeout("tcp", s.addr, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.Write([]byte("hello")); err != nil {
		return err.Error()
	}
	answer, err := io.ReadAll(c)
	if err != nil {
		return err.Error()
	}
	return string(answer)
}

// A process without descriptors rejects each connection, also if they run out while it takes one over; it keeps none of
// them open, does not spin, and serves again once there are some.
func TestConnectionsAreRejectedWithoutDescriptors(t *testing.T) {
	for _, free := range []int{0, 1} {
		t.Run(fmt.Sprintf("%d free", free), func(t *testing.T) {
			s := startLimitedServer(t)
			if got := s.ask(); got != "hello" {
				t.Fatal(got)
			}
			before := s.command("fds")
			s.command("free %d", free)
			checkRejections(t, s, free)
			s.command("free")
			if got := s.ask(); got != "hello" && got != "busy" { // the first may still meet the shortage
				t.Errorf("with capacity again: %q", got)
			}
			if got := s.ask(); got != "hello" {
				t.Errorf("with capacity again: %q", got)
			}
			if after := s.command("fds"); after > before+1 {
				t.Errorf("%d descriptors are open, %d were", after, before)
			}
		})
	}
}

func checkRejections(t *testing.T, s *limitedServer, free int) {
	t.Helper()
	cpu, begun := s.command("cpu"), time.Now()
	rejected := 0
	for range 40 {
		switch got := s.ask(); got {
		case "busy":
			rejected++
		case "hello": // a descriptor was left for it after all
		default:
			t.Fatalf("answered with %q", got)
		}
	}
	if free == 0 && rejected < 20 { // with one free, the reserve may do for the second
		t.Errorf("only %d of 40 were rejected", rejected)
	}
	time.Sleep(300 * time.Millisecond) // another process' work is looked at, with nothing to do
	if worked := s.command("cpu") - cpu; worked > 200+int(time.Since(begun).Milliseconds())/4 {
		t.Errorf("it worked for %d ms in %v", worked, time.Since(begun))
	}
}
