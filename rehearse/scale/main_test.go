package scale

import (
	"context"
	"fmt"
	"os"
	"testing"

	"laddertide/rehearse/daemon/daemontest"
	"laddertide/rehearse/scale/hollow"
)

// TestMain also is the process of hollow schedulers that tests start from this program.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == hollow.Command {
		if err := hollow.Main(context.Background(), os.Args[2], os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	daemontest.Main(m)
}
