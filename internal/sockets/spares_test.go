package sockets

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"plumspindle/internal/eventloop"
)

// TestMain is also the processes of their own that run out of descriptors, and that meet faults of system calls.
func TestMain(m *testing.M) {
	if os.Getenv("PLUMSPINDLE_FEW_DESCRIPTORS") != "" {
		fewDescriptors()
		return
	}
	if os.Getenv("PLUMSPINDLE_ECHO") != "" {
		echo()
		return
	}
	os.Exit(m.Run())
}

// fewDescriptors serves connections, answering each with its first bytes, and does what it is told on standard input: "free N"
// leaves so many descriptors, "free" all, "fds" tells how many are open, "cpu" how many milliseconds it has worked.
func fewDescriptors() {
	l, err := Start()
	if err != nil {
		fmt.Println(err)
		return
	}
	l.OverloadResponse = []byte("busy")
	l.Do(func() {
		ln, err := l.Listen("127.0.0.1:0", func(c eventloop.Conn) eventloop.Handler {
			return &ear{conn: c, closed: make(chan error, 1), onData: func(e *ear) { e.conn.Write(e.data); e.conn.Close() }}
		})
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(ln.Addr())
	})
	var all syscall.Rlimit
	_ = syscall.Getrlimit(syscall.RLIMIT_NOFILE, &all)
	open := func() map[int]bool {
		in := map[int]bool{}
		entries, _ := os.ReadDir("/proc/self/fd")
		for _, e := range entries {
			var fd int
			if _, err := os.Readlink("/proc/self/fd/" + e.Name()); err != nil {
				continue // the folder's own
			}
			if _, err := fmt.Sscan(e.Name(), &fd); err == nil {
				in[fd] = true
			}
		}
		return in
	}
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		var n int
		switch text := lines.Text(); {
		case text == "fds":
			fmt.Println(len(open()))
		case text == "cpu":
			var u syscall.Rusage
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
			fmt.Println((u.Utime.Nano() + u.Stime.Nano()) / 1e6)
		case text == "free":
			_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &all)
			fmt.Println("ok")
		default:
			_, _ = fmt.Sscanf(text, "free %d", &n)
			in, limit := open(), 0
			for left := n; ; limit++ {
				if !in[limit] {
					if left == 0 {
						break
					}
					left--
				}
			}
			_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: uint64(limit), Max: all.Max})
			fmt.Println("ok")
		}
	}
}

// A process without descriptors tells each that comes that it is busy, also where they run out in the middle of taking one over;
// it keeps none of them open, does not spin, and serves again once there are some.
func TestNoDescriptorForAConnection(t *testing.T) {
	for _, free := range []int{0, 1} {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), "PLUMSPINDLE_FEW_DESCRIPTORS=1")
		in, _ := c.StdinPipe()
		out, _ := c.StdoutPipe()
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		defer func() { in.Close(); _ = c.Wait() }()
		lines := bufio.NewScanner(out)
		tell := func(text string) (n int) {
			t.Helper()
			if text != "" {
				fmt.Fprintln(in, text)
			}
			if !lines.Scan() {
				t.Fatal("it has ended")
			}
			_, _ = fmt.Sscan(lines.Text(), &n)
			return n
		}
		tell("")
		addr := lines.Text()
		ask := func() string {
			conn, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				return err.Error()
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
			if _, err := conn.Write([]byte("hello")); err != nil {
				return err.Error()
			}
			b, err := io.ReadAll(conn)
			if err != nil {
				return err.Error()
			}
			return string(b)
		}
		if got := ask(); got != "hello" {
			t.Fatal(got)
		}
		before := tell("fds")
		tell(fmt.Sprint("free ", free))
		cpu, begun := tell("cpu"), time.Now()
		told := 0
		for range 40 {
			switch got := ask(); got {
			case "busy":
				told++
			case "hello": // where one was left for it after all
			default:
				t.Fatalf("%d left: told %q", free, got)
			}
		}
		if free == 0 && told < 20 { // with one left, what is kept back may do for the second
			t.Errorf("%d left: only %d of 40 were told", free, told)
		}
		time.Sleep(300 * time.Millisecond) // another process' work is looked at, with nothing to do
		if worked := tell("cpu") - cpu; worked > 200+int(time.Since(begun).Milliseconds())/4 {
			t.Errorf("%d left: it worked for %d ms in %v", free, worked, time.Since(begun))
		}
		tell("free")
		if got := ask(); got != "hello" && got != "busy" { // the first may still meet what was given up
			t.Errorf("%d left: with room again: %q", free, got)
		}
		if got := ask(); got != "hello" {
			t.Errorf("%d left: with room again: %q", free, got)
		}
		if after := tell("fds"); after > before+1 {
			t.Errorf("%d left: %d descriptors are open, %d were", free, after, before)
		}
	}
}
