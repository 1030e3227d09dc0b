package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one that the run started.
type process struct {
	name  string
	cmd   *exec.Cmd
	in    io.WriteCloser
	ended chan struct{}
	err   error // how it ended
}

// startRole starts a stand-in and waits until it is ready.
func startRole(kind string, setup Setup) (*process, error) {
	told, err := json.Marshal(setup)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleVariable+"="+kind, setupVariable+"="+string(told))
	cmd.Stderr = os.Stderr
	p := &process{name: setup.Name, cmd: cmd, ended: make(chan struct{})}
	if p.in, err = cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil || strings.TrimSpace(line) != "ready" {
		_ = cmd.Process.Kill()
		return nil, fmt.Errorf("%s %s: %q, %v", kind, setup.Name, line, err)
	}
	go p.wait()
	return p, nil
}

func (p *process) wait() {
	p.err = p.cmd.Wait()
	close(p.ended)
}

func (p *process) order(format string, arguments ...any) {
	_, _ = fmt.Fprintf(p.in, format+"\n", arguments...)
}

// end has a stand-in write its record and end.
func (p *process) end() {
	p.order("end")
	p.in.Close()
	select {
	case <-p.ended:
	case <-time.After(10 * time.Second):
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

// dispatcher is a place where a dispatcher runs, one process after the other.
type dispatcher struct {
	number      int
	listen      string
	config      string   // path
	environment []string // beside the program's own
	logs        *stampedLog
	mu          sync.Mutex // guards the process
	process     *process
	startedAt   int64
}

// start runs the program that was built, with the platform's environment.
func (d *dispatcher) start(binary string) error {
	cmd := exec.Command(binary, "--log-level", "debug", "platform")
	cmd.Env = append(append(os.Environ(), "BALANCER_CONFIG="+d.config), d.environment...)
	cmd.Stderr = d.logs
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{name: fmt.Sprint(d.number), cmd: cmd, ended: make(chan struct{})}
	go p.wait()
	d.mu.Lock()
	d.process, d.startedAt = p, now()
	d.mu.Unlock()
	return nil
}

func (d *dispatcher) signal(s syscall.Signal) error { return d.process.cmd.Process.Signal(s) }
