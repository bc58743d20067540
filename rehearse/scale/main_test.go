package scale

import (
	"context"
	"fmt"
	"os"
	"testing"

	"laddertide/rehearse/daemon"
	"laddertide/rehearse/scale/hollow"
)

// program is the daemon's.
var program string

// TestMain also is the process of hollow schedulers that tests start from this program.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == hollow.Command {
		if err := hollow.Main(context.Background(), os.Args[2], os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	path, remove, err := daemon.Find(context.Background(), "")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = path
	code := m.Run()
	remove()
	os.Exit(code)
}
