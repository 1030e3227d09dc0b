// Command driver-2 runs one case of the second review against the project's own program, with small stand-ins of
// clients, model hosts and discovery. It exits with 1 if the rule was broken, 0 if it held and 2 if it couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(*world) (broken string){}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(runCase(*name, *root, *record))
}

func runCase(name, root, record string) (code int) {
	defer func() {
		if reason := recover(); reason != nil {
			fmt.Println("could not run:", reason)
			code = 2
		}
	}()
	play, known := cases[name]
	if !known {
		fmt.Println("no such case:", name)
		return 2
	}
	w := newWorld(root, record, os.Getenv("TROUBLE") != "0")
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { // ends what the run started if the run is cut short
		<-signals
		w.close()
		os.Exit(2)
	}()
	w.log("case %s, trouble %v", name, w.trouble)
	broken := play(w)
	for _, d := range w.dispatchers {
		d.keepLog(20)
	}
	if broken != "" {
		w.log("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	w.log("held")
	fmt.Println("held")
	return 0
}
