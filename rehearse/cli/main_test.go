package cli_test

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"laddertide/rehearse/cli"
	"laddertide/rehearse/standin"
)

const (
	kitEnv = "E2E_KIT" // makes the tests' own binary the kit's program
	dirEnv = "E2E_DIR" // marks the processes that a call of it has started
)

// TestMain lets the tests' binary be three things: the tests, the kit's program, and the scheduler that this starts.
func TestMain(m *testing.M) {
	switch {
	case len(os.Args) > 1 && os.Args[1] == "serve":
		standin.Main(os.Getenv(standin.Env))
	case os.Getenv(kitEnv) != "":
		os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	flag.Parse()
	// Runs wait more than they work, so more of them fit on a machine than it has processors.
	if err := flag.Set("test.parallel", strconv.Itoa(mostRuns+4)); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(daemonDir)
	os.Exit(code)
}
