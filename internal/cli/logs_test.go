package cli

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestDispatcherServesWhenNobodyReadsItsLogs checks that a dispatcher continues to serve, and shuts down gracefully,
// when the reader of its logs stops reading or goes away. Without the log writer a full pipe would block the
// dispatcher, and SIGPIPE would kill it.
func TestDispatcherServesWhenNobodyReadsItsLogs(t *testing.T) {
	listen := freeAddress(t)
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n3","listen":%q,"discovery":"127.0.0.1:1",`+
		`"limits":{"cores":1,"memory_mb":64,"sockets":256},"settings":{}}`, listen)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	logs, writeEnd, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := unix.FcntlInt(logs.Fd(), unix.F_SETPIPE_SZ, 4096); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, "platform")
	cmd.Env, cmd.Stderr = append(os.Environ(), "BALANCER_CONFIG="+path), writeEnd
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = writeEnd.Close()
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	for lines := bufio.NewScanner(logs); ; {
		if !lines.Scan() {
			t.Fatal("the dispatcher ended before it served requests")
		}
		if strings.Contains(lines.Text(), `"serving"`) {
			break
		}
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	checkServes := func(when string) {
		t.Helper()
		// Each round makes the dispatcher log a line.
		for rounds, startTime := 0, time.Now(); rounds < 100 || time.Since(startTime) < 2*time.Second; rounds++ {
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatalf("%s: %v", when, err)
			}
			response, err := client.Get("http://" + listen + "/up")
			if err != nil {
				t.Fatalf("%s: %v", when, err)
			}
			_ = response.Body.Close()
		}
	}
	checkServes("logs not read")
	_ = logs.Close()
	checkServes("log reader gone")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the dispatcher ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the dispatcher did not end within 10 s of SIGTERM")
	}
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
