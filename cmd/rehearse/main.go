// Command rehearse plays troubles against real schedulers and judges what they make of them.
package main

import (
	"os"

	"laddertide/rehearse/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
