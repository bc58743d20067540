// Command rehearse injects faults into real schedulers and checks how they handle them.
package main

import (
	"os"
	"runtime/debug"

	"laddertide/rehearse/cli"
)

// gcPercent is the garbage collector's target percentage. It trades memory for fewer collections, which take the processor
// from clients that are about to send.
const gcPercent = 400

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
