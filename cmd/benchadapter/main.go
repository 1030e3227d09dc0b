// Command benchadapter connects the scheduler to the bench simulator, whose wire protocol it speaks over standard input
// and output.
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
