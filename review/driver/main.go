// Command driver plays the cases of the review. It starts the project's programs as processes, plays the clients, and
// checks the answers that the clients got. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by the number of their folder.
var cases = map[string]func(*run) (broken []string, err error){
	"1": floodingTenant,
	"2": repeatDuringPrefill,
	"3": markedRepeat,
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
		<-interrupted
		r.end()
		os.Exit(2)
	}()
	broken, err := cases[name](r)
	if err != nil {
		r.note("the case could not run: %v", err)
		return 2
	}
	for _, text := range broken {
		r.note("BROKEN: %s", text)
	}
	if len(broken) > 0 {
		return 1
	}
	r.note("the rule held")
	return 0
}
