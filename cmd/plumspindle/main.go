// Command plumspindle runs the router, its administration and discovery services, and its test bed and benchmarks.
package main

import (
	"os"

	"plumspindle/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
