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

// TestLogsThatNobodyReads: a dispatcher serves on, and ends in good order, where whoever reads its logs stops to, or goes away.
func TestLogsThatNobodyReads(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := free.Addr().String()
	free.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n3","listen":%q,"discovery":"127.0.0.1:1","limits":{"cores":1,"memory_mb":64,"sockets":256},"settings":{}}`, listen)
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
	end.Close()
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
		for rounds, begun := 0, time.Now(); rounds < 100 || time.Since(begun) < 2*time.Second; rounds++ { // a line each
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatalf("%s: %v", when, err)
			}
			answer, err := client.Get("http://" + listen + "/up")
			if err != nil {
				t.Fatalf("%s: %v", when, err)
			}
			answer.Body.Close()
		}
	}
	serves("logs that are not read")
	logs.Close()
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
