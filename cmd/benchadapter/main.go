// Command benchadapter runs the scheduler on the bench simulator's wire, over standard input and output.
package main

import (
	"fmt"
	"os"

	"plumspindle/internal/benchadapter"
)

func main() {
	if err := benchadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchadapter:", err)
		os.Exit(1)
	}
}
