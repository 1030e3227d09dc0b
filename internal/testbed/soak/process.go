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

// roleEndTimeout is how long a stand-in may take to end.
const roleEndTimeout = 10 * time.Second

// process is one that the run started.
type process struct {
	command *exec.Cmd
	orders  io.WriteCloser // of a stand-in
	exited  chan struct{}
	err     error // how it ended, once exited is closed
}

// startRole starts a stand-in and waits until it is ready.
func startRole(name string, setup Setup) (*process, error) {
	setupText, err := json.Marshal(setup)
	if err != nil {
		return nil, fmt.Errorf("setup of %s: %w", setup.Name, err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), roleVariable+"="+name, setupVariable+"="+string(setupText))
	command.Stderr = os.Stderr
	started := &process{command: command, exited: make(chan struct{})}
	if started.orders, err = command.StdinPipe(); err != nil {
		return nil, fmt.Errorf("start %s %s: %w", name, setup.Name, err)
	}
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("start %s %s: %w", name, setup.Name, err)
	}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start %s %s: %w", name, setup.Name, err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	go started.wait()
	if err == nil && strings.TrimSpace(line) != readyLine {
		err = fmt.Errorf("said %q", line)
	}
	if err != nil {
		started.kill()
		return nil, fmt.Errorf("start %s %s: %w", name, setup.Name, err)
	}
	return started, nil
}

func (p *process) wait() {
	p.err = p.command.Wait()
	close(p.exited)
}

// kill ends the process at once.
func (p *process) kill() {
	_ = p.command.Process.Kill() // it may have ended already
	<-p.exited
}

// order sends an order to a stand-in; one that has ended takes none.
func (p *process) order(format string, arguments ...any) {
	_, _ = fmt.Fprintf(p.orders, format+"\n", arguments...)
}

// end has a stand-in write its record and end.
func (p *process) end() {
	p.order(orderEnd)
	_ = p.orders.Close()
	select {
	case <-p.exited:
	case <-time.After(roleEndTimeout):
		p.kill()
	}
}
