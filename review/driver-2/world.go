package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// world holds everything of one run: the record, the temporary folder and the processes and stand-ins that were
// started.
type world struct {
	trouble bool
	root    string // of the repository
	dir     string // temporary folder
	began   time.Time

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File

	dispatchers []*dispatcher
	agents      []*agent
	lastID      atomic.Uint64
	ended       atomic.Bool
}

// cannotRun is the panic value of a run that can't be carried out.
type cannotRun struct{ reason string }

func must(err error, what string) {
	if err != nil {
		panic(cannotRun{what + ": " + err.Error()})
	}
}

func newWorld(root, recordPath string, trouble bool) *world {
	file, err := os.Create(recordPath)
	must(err, "record")
	dir, err := os.MkdirTemp("", "review-")
	must(err, "temporary folder")
	return &world{trouble: trouble, root: root, dir: dir, began: time.Now(), file: file, record: bufio.NewWriter(file)}
}

// log writes one line to the record: the milliseconds since the start of the run, and the text.
func (w *world) log(format string, arguments ...any) {
	at := time.Since(w.began)
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.1f  %s\n", float64(at.Microseconds())/1000, fmt.Sprintf(format, arguments...))
}

// close ends all processes that the run started, and closes the record.
func (w *world) close() {
	w.ended.Store(true)
	for _, d := range w.dispatchers {
		d.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Flush()
	w.file.Close()
	os.RemoveAll(w.dir)
}

// newID returns a request id that is new in this run.
func (w *world) newID() string { return fmt.Sprintf("%016x", uint64(os.Getpid())<<40|w.lastID.Add(1)) }

// listen opens a listener on a free port of a loopback address.
func listen(ip string) *net.TCPListener {
	l, err := net.Listen("tcp4", ip+":0")
	must(err, "listen")
	return l.(*net.TCPListener)
}

// freeAddress returns an address with a port that is free now.
func freeAddress(ip string) string {
	l := listen(ip)
	defer l.Close()
	return l.Addr().String()
}

// dispatcher is a process that the deploy file's `run` starts.
type dispatcher struct {
	w          *world
	name       string
	address    string
	configPath string
	config     map[string]any
	cmd        *exec.Cmd
	exited     chan struct{}
	peakKB     atomic.Int64 // highest resident memory seen so far
	killedFor  atomic.Bool  // the platform killed it because it was over its limit
	starts     int
}

func (w *world) newDispatcher(name, ip, discovery string, limits, settings map[string]any, known any) *dispatcher {
	d := &dispatcher{w: w, name: name, address: freeAddress(ip), configPath: filepath.Join(w.dir, name+".json")}
	d.config = map[string]any{"name": name, "listen": d.address, "discovery": discovery,
		"limits": limits, "settings": settings}
	if known != nil {
		d.config["known"] = known
	}
	w.dispatchers = append(w.dispatchers, d)
	return d
}

// runCommand returns `run` of the deploy file.
func (w *world) runCommand() string {
	text, err := os.ReadFile(filepath.Join(w.root, "deploy", "balancer.toml"))
	must(err, "deploy file")
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "run = "); found {
			command, err := strconv.Unquote(strings.TrimSpace(rest))
			must(err, "run of the deploy file")
			return command
		}
	}
	panic(cannotRun{"the deploy file has no run"})
}

// start starts the process. It doesn't wait until the process is ready.
func (d *dispatcher) start() {
	d.starts++
	d.config["seed"] = fmt.Sprintf("%x", 7000+d.starts*100+len(d.name))
	text, err := json.Marshal(d.config)
	must(err, "configuration")
	must(os.WriteFile(d.configPath, text, 0o600), "configuration")
	logFile, err := os.OpenFile(filepath.Join(d.w.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err, "log")
	tmp := filepath.Join(d.w.dir, fmt.Sprintf("%s-tmp-%d", d.name, d.starts))
	must(os.Mkdir(tmp, 0o700), "TMPDIR")
	d.cmd = exec.Command("/bin/sh", "-c", d.w.runCommand())
	d.cmd.Dir = d.w.root
	d.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+d.configPath, "BALANCER_NAME="+d.name,
		"BALANCER_LISTEN="+d.address, "BALANCER_DISCOVERY="+fmt.Sprint(d.config["discovery"]), "TMPDIR="+tmp)
	d.cmd.Stdout, d.cmd.Stderr = logFile, logFile
	must(d.cmd.Start(), "start "+d.name)
	logFile.Close()
	d.w.log("%s starts, pid %d", d.name, d.cmd.Process.Pid)
	exited := make(chan struct{})
	d.exited = exited
	cmd := d.cmd
	go func() {
		err := cmd.Wait()
		d.w.log("%s has ended: %v", d.name, err)
		close(exited)
	}()
}

// waitReady waits until GET /up is answered with 200.
func (d *dispatcher) waitReady(limit time.Duration) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for began := time.Now(); time.Since(began) < limit; time.Sleep(5 * time.Millisecond) {
		response, err := client.Get("http://" + d.address + "/up")
		if err != nil {
			continue
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			d.w.log("%s is ready", d.name)
			return
		}
	}
	panic(cannotRun{d.name + " does not become ready"})
}

func (d *dispatcher) signal(s syscall.Signal) {
	d.w.log("%s gets %v", d.name, s)
	d.cmd.Process.Signal(s)
}

func (d *dispatcher) hasEnded() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

func (d *dispatcher) kill() {
	if d.cmd != nil && !d.hasEnded() {
		d.cmd.Process.Kill()
		<-d.exited
	}
}

// residentKB returns a field of the process's status in kB, such as VmRSS.
func (d *dispatcher) residentKB(field string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, field+":"); found {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n
		}
	}
	return 0
}

// enforceMemory does what the platform does with a dispatcher over its limit: it kills it.
func (d *dispatcher) enforceMemory(limitMB int) {
	for !d.hasEnded() && !d.w.ended.Load() {
		kb := d.residentKB("RssAnon") // without the pages of the program file
		if kb > d.peakKB.Load() {
			d.peakKB.Store(kb)
		}
		if kb > int64(limitMB)*1024 {
			d.killedFor.Store(true)
			d.w.log("%s holds %d kB, its limit is %d MB: the platform kills it", d.name, kb, limitMB)
			d.cmd.Process.Kill()
			return
		}
		time.Sleep(200 * time.Microsecond)
	}
}

// keepLog copies the end of the dispatcher's log into the record.
func (d *dispatcher) keepLog(lines int) {
	text, _ := os.ReadFile(filepath.Join(d.w.dir, d.name+".log"))
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, line := range all[max(len(all)-lines, 0):] {
		d.w.log("log of %s: %s", d.name, line)
	}
}

// smallSettings are settings in the form of a site's first message, as for a small deployment.
func smallSettings(dispatchers int, kinds, roles []string, memory []int, classes []map[string]any) map[string]any {
	return map[string]any{
		"group_size": dispatchers, "tick": 4000000, "zone": 0, "localities": []string{"west"}, "host_types": kinds,
		"discovery": "pushed", "weights": "nominal", "workload": "twostage", "over_share_worth": 0.1,
		"projects": []any{},
		"domain": map[string]any{"duty_by_kind": roles, "kv_tokens": memory, "let_go_by": 500000000,
			"local_read": false, "may_reserve": false, "resume": false, "token_aim": []int{50000000, 60000000},
			"aim_us_per_1000_prompt_tokens": []float64{60000, 40000}},
		"limits": map[string]any{"send_cap": 6, "may_cancel": true, "may_probe": false, "retry_after": true,
			"max_retry_after": 1000000000, "connect_timeout": 250000000, "conn_idle": 30000000000,
			"second_copies": false, "peers": false, "multiplex": 1},
		"obligations": map[string]any{"cold": 14000000000, "cold_from": 0.25, "fall": 2000000000, "fall_multiple": 2.5,
			"answer_slack": 500000000, "stop_sending_within": 250000000},
		"request_classes": classes,
	}
}

func class(name, repeat string, aim, deadline time.Duration) map[string]any {
	return map[string]any{"name": name, "repeat": repeat, "aim": aim.Nanoseconds(), "deadline": deadline.Nanoseconds(),
		"group": "all", "window": 5000000000, "points": 2.0, "late_share": 0.2, "stream": true}
}
