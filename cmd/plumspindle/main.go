// Command plumspindle is the router and its laboratory.
package main

import (
	"os"

	"plumspindle/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
