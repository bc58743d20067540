// Package daemontest lets the tests of a package start the daemon's program.
package daemontest

import (
	"context"
	"fmt"
	"os"
	"testing"

	"laddertide/rehearse/daemon"
)

// Program is the path of the daemon's program while Main runs tests.
var Program string

// Main finds or builds the daemon's program, runs the tests of a package and ends the process. It is called by TestMain.
func Main(m *testing.M) {
	path, remove, err := daemon.Find(context.Background(), "")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	Program = path
	code := m.Run()
	remove()
	os.Exit(code)
}
