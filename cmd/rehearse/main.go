// Command rehearse plays troubles against real schedulers and judges what they make of them.
package main

import (
	"os"
	"runtime/debug"

	"laddertide/rehearse/cli"
)

// collectAt is when the collector runs, in percent of what is alive: a collection takes the processor from clients that
// are about to send. The kit pays for that in memory.
const collectAt = 400

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectAt)
	}
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
