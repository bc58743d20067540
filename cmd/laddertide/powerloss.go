//go:build powerloss

package main

import (
	"fmt"
	"os"

	"laddertide/ledger"
	"laddertide/ledger/faultfs"
)

// In this build, which is for rehearsals only, unsynced writes are lost when the process ends. LADDERTIDE_POWERLOSS states how
// much of them reaches the disk nevertheless, such as "seed=7,early=0.3,torn=0.1".
func init() {
	plan, err := faultfs.ParsePlan(os.Getenv("LADDERTIDE_POWERLOSS"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "laddertide:", err)
		os.Exit(1)
	}
	ledger.WrapFolder = func(path string, fs ledger.FS) ledger.FS { return faultfs.NewLossy(path, fs, plan) }
}
