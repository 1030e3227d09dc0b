// Command driver plays the cases of the review. It starts the project's programs as processes, plays the clients, and
// checks the answers that the clients got. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit is the time after which a case is given up.
const timeLimit = 115 * time.Second

// cases are the cases by the number of their folder.
var cases = map[string]func(*run) (broken []string, err error){
	"1": floodingTenant,
	"2": markedRepeat,
	"3": repeatDuringPrefill,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE REPOSITORY RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays one case and returns the exit code.
func play(name, repository, recordPath string) (code int) {
	r, err := newRun(repository, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(timeLimit):
		}
		r.note("the case did not end")
		r.end()
		os.Exit(2)
	}()
	broken, err := cases[name](r)
	for _, text := range broken {
		r.note("BROKEN: %s", text)
	}
	switch {
	case len(broken) > 0:
		return 1
	case err != nil:
		r.note("the case could not run: %v", err)
		return 2
	}
	r.note("the rule held")
	return 0
}
