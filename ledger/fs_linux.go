package ledger

import (
	"errors"
	"os"

	"golang.org/x/sys/unix"
)

// allocate extends an empty file to size and preallocates the space if the file system supports it.
func allocate(f *os.File, size int64) error {
	for {
		err := unix.Fallocate(int(f.Fd()), 0, 0, size)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EOPNOTSUPP), errors.Is(err, unix.ENOSYS):
			return f.Truncate(size)
		default:
			return err
		}
	}
}

// datasync syncs the data of a file and the metadata that is needed to read it.
func datasync(f *os.File) error {
	for {
		if err := unix.Fdatasync(int(f.Fd())); err != unix.EINTR {
			return os.NewSyscallError("fdatasync", err)
		}
	}
}
