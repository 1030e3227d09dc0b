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

// A dispatcher goes on serving, and ends gracefully, where whoever reads its logs stops reading or goes away.
func TestDispatcherServesWhenNobodyReadsItsLogs(t *testing.T) {
	listen := freeAddress(t)
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n3","listen":%q,"discovery":"127.0.0.1:1",`+
		`"limits":{"cores":1,"memory_mb":64,"sockets":256},"settings":{}}`, listen)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	logs, end, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := unix.FcntlInt(logs.Fd(), unix.F_SETPIPE_SZ, 4096); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, "platform")
	cmd.Env, cmd.Stderr = append(os.Environ(), "BALANCER_CONFIG="+path), end
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = end.Close()
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	for lines := bufio.NewScanner(logs); ; {
		if !lines.Scan() {
			t.Fatal("it ended before it served")
		}
		if strings.Contains(lines.Text(), `"serving"`) {
			break
		}
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	serves := func(when string) {
		t.Helper()
		for rounds, began := 0, time.Now(); rounds < 100 || time.Since(began) < 2*time.Second; rounds++ { // a log line each
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatalf("%s: %v", when, err)
			}
			answer, err := client.Get("http://" + listen + "/up")
			if err != nil {
				t.Fatalf("%s: %v", when, err)
			}
			_ = answer.Body.Close()
		}
	}
	serves("logs that are not read")
	_ = logs.Close()
	serves("logs whose reader is gone")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("it did not end")
	}
}

// freeAddress is an address on loopback that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
