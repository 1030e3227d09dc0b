package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"time"
)

// shutDownTimeout is the time that a stand-in may take to shut down.
const shutDownTimeout = 10 * time.Second

// process is a child process of the run.
type process struct {
	cmd    *exec.Cmd
	stdin  io.WriteCloser // only of a stand-in, for commands
	exited chan struct{}
	err    error // the result of Wait, set before exited is closed
}

// startStandInProcess starts the process of a stand-in and waits until it is ready.
func startStandInProcess(role string, setup Setup) (*process, error) {
	setupText, err := json.Marshal(setup)
	if err != nil {
		return nil, fmt.Errorf("setup of %s: %w", setup.Name, err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleVariable+"="+role, setupVariable+"="+string(setupText))
	cmd.Stderr = os.Stderr
	started := &process{cmd: cmd, exited: make(chan struct{})}
	if started.stdin, err = cmd.StdinPipe(); err != nil {
		return nil, fmt.Errorf("start %s %s: %w", role, setup.Name, err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("start %s %s: %w", role, setup.Name, err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s %s: %w", role, setup.Name, err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	go started.wait()
	if err == nil && strings.TrimSpace(line) != readyLine {
		err = fmt.Errorf("printed %q, not ready", line)
	}
	if err != nil {
		started.kill()
		return nil, fmt.Errorf("start %s %s: %w", role, setup.Name, err)
	}
	return started, nil
}

// wait waits for the end of the process.
func (p *process) wait() {
	p.err = p.cmd.Wait()
	close(p.exited)
}

// kill ends the process at once.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have ended already
	<-p.exited
}

// send sends a command to a stand-in. A stand-in that has ended ignores it.
func (p *process) send(format string, arguments ...any) {
	_, _ = fmt.Fprintf(p.stdin, format+"\n", arguments...)
}

// shutDown makes a stand-in close its record and exit. It kills one that does not exit in time.
func (p *process) shutDown() {
	p.send(commandEnd)
	_ = p.stdin.Close()
	select {
	case <-p.exited:
	case <-time.After(shutDownTimeout):
		p.kill()
	}
}
