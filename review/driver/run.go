package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// run is one run of a case: its processes, its temporary folder and its record.
type run struct {
	trouble    bool
	repository string
	dir        string
	began      time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
	ended     bool
}

func newRun(repository, recordPath string) (*run, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", repository: repository, dir: dir, began: time.Now(), record: record}
	r.note("disruption: %v", r.trouble)
	return r, nil
}

// note writes a line to the record and to standard output.
func (r *run) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
	_, _ = r.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

func (r *run) path(name string) string { return filepath.Join(r.dir, name) }

func (r *run) write(name, text string) (path string, err error) {
	return r.path(name), os.WriteFile(r.path(name), []byte(text), 0o600)
}

// process is a process that the case started.
type process struct {
	name    string
	command *exec.Cmd
	log     string
	exited  chan struct{}
	mu      sync.Mutex
	asked   bool // this run told the process to end
}

// start starts a program of the project. Its log is kept in the temporary folder.
func (r *run) start(name string, arguments ...string) (*process, error) {
	return r.startCommand(name, exec.Command(filepath.Join(r.repository, "bin", "plumspindle"), arguments...))
}

func (r *run) startCommand(name string, command *exec.Cmd) (*process, error) {
	p := &process{name: name, command: command, log: r.path(name + ".log"), exited: make(chan struct{})}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command.Dir, command.Stdout, command.Stderr = r.repository, log, log
	if err := command.Start(); err != nil {
		return nil, err
	}
	shown := strings.NewReplacer(r.dir+"/", "", r.repository+"/", "").Replace(strings.Join(command.Args, " "))
	r.note("started %s: %s", name, shown)
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(p.exited)
	}()
	return p, nil
}

// crashed reports whether the process has ended although it was not told to.
func (p *process) crashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return !p.asked
	default:
		return false
	}
}

// crashText returns the first lines of the log that tell of a crash.
func (p *process) crashText() string {
	log, _ := os.ReadFile(p.log)
	_, crash, found := strings.Cut(string(log), "panic: ")
	if !found {
		return "no panic in its log"
	}
	lines := strings.Split(crash, "\n")
	return "panic: " + strings.Join(lines[:min(len(lines), 6)], " | ")
}

// end ends all processes and removes the temporary folder.
func (r *run) end() {
	r.mu.Lock()
	if r.ended {
		r.mu.Unlock()
		return
	}
	r.ended = true
	processes := r.processes
	r.mu.Unlock()
	for _, p := range processes {
		p.mu.Lock()
		p.asked = true
		p.mu.Unlock()
		_ = p.command.Process.Kill()
		<-p.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// awaitReady waits for a file that a program writes once it serves, and returns the address of its API.
func (r *run) awaitReady(p *process, file string) (address string, err error) {
	for range 300 {
		if p.crashed() {
			return "", errors.New(p.name + " ended at once")
		}
		var ready struct {
			API string `json:"api"`
		}
		if text, err := os.ReadFile(r.path(file)); err == nil && json.Unmarshal(text, &ready) == nil && ready.API != "" {
			return strings.TrimPrefix(ready.API, "http://"), nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return "", errors.New(p.name + " did not become ready")
}
