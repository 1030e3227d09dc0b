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

// serveWithFewDescriptors is the main function of the process that runs out of descriptors. It answers each connection
// with the first bytes that it received. It reads commands from its standard input and prints one line for each:
// "free N" lowers the descriptor limit so that N descriptors are free, "free" restores the limit, "fds" prints how many
// descriptors are open, "cpu" prints the CPU time of the process in milliseconds, and "respond N" makes it reject up to
// N connections at once, with a complete HTTP response.
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
			_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limitWithFree(free), Max: limit.Max})
			fmt.Println("ok")
		}
	}
}

func openDescriptors() map[int]bool {
	open := map[int]bool{}
	entries, _ := os.ReadDir("/proc/self/fd")
	for _, entry := range entries {
		if _, err := os.Readlink("/proc/self/fd/" + entry.Name()); err != nil {
			continue // the descriptor of the directory that was read above
		}
		fd := 0
		if _, err := fmt.Sscan(entry.Name(), &fd); err == nil {
			open[fd] = true
		}
	}
	return open
}

// limitWithFree returns the descriptor limit that leaves the given number of descriptors free.
func limitWithFree(free int) uint64 {
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

// limitedServer controls a server process whose descriptor limit the test lowers.
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

// command sends a command to the process and returns the number that the process prints, or 0 if it prints "ok".
func (s *limitedServer) command(format string, args ...any) (n int) {
	s.t.Helper()
	if _, err := fmt.Fprintf(s.in, format+"\n", args...); err != nil {
		s.t.Fatal(err)
	}
	_, _ = fmt.Sscan(s.readLine(), &n)
	return n
}

// ask sends a few bytes on a new connection and returns the answer, or the text of an error.
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

// A process without free descriptors must reject each connection, even if the last descriptor is used up while a
// connection is handed to the poller. It must close the rejected connections, must not busy-loop, and must serve again
// once descriptors are free.
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
			if got := s.ask(); got != "hello" && got != "busy" { // the first connection may still be rejected
				t.Errorf("answer with free descriptors: %q", got)
			}
			if got := s.ask(); got != "hello" {
				t.Errorf("second answer with free descriptors: %q", got)
			}
			if after := s.command("fds"); after > before+1 {
				t.Errorf("%d descriptors are open, %d were before", after, before)
			}
		})
	}
}

func checkRejections(t *testing.T, s *limitedServer, free int) {
	t.Helper()
	cpuBefore, start := s.command("cpu"), time.Now()
	rejected := 0
	for range 40 {
		switch got := s.ask(); got {
		case "busy":
			rejected++
		case "hello": // a descriptor was free after all
		default:
			t.Fatalf("unexpected answer %q", got)
		}
	}
	if free == 0 && rejected < 20 { // a connection takes two descriptors; with one free, the reserve may provide the other
		t.Errorf("only %d of 40 were rejected", rejected)
	}
	time.Sleep(300 * time.Millisecond) // the CPU time must also cover a period in which the server process is idle
	if used := s.command("cpu") - cpuBefore; used > 200+int(time.Since(start).Milliseconds())/4 {
		t.Errorf("the process used %d ms of CPU time in %v", used, time.Since(start))
	}
}
