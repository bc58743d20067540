package cli_test

import (
	"os"
	"testing"

	"laddertide/internal/pin"
	"laddertide/rehearse/cli"
	"laddertide/rehearse/standin"
)

// kitEnv makes the tests' own binary the kit's program.
const kitEnv = "E2E_KIT"

// TestMain lets the tests' binary be three things: the tests, the kit's program, and the scheduler that this starts.
func TestMain(m *testing.M) {
	switch {
	case len(os.Args) > 1 && os.Args[1] == "serve":
		standin.Main(os.Getenv(standin.Env))
	case os.Getenv(kitEnv) != "":
		os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	pin.Run(m)
}
