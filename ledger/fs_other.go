//go:build !linux

package ledger

import "os"

func allocate(f *os.File, size int64) error { return f.Truncate(size) }
func datasync(f *os.File) error             { return f.Sync() }
