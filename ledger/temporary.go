package ledger

import (
	"errors"
	"slices"
	"syscall"
)

// temporary are the errors of system calls on a folder that may take writes again without anybody's doing anything to the program:
// once there is room, or the device answers.
var temporary = []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, syscall.EIO, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE,
	syscall.EAGAIN, syscall.EINTR, syscall.EBUSY, syscall.ETIMEDOUT}

// Temporary reports whether a write failed for a reason that may pass. A folder that is not there, may not be written or is another
// one than was opened does not come back by itself.
func Temporary(err error) bool {
	if errors.Is(err, ErrBusy) || errors.Is(err, errSlow) {
		return true
	}
	return slices.ContainsFunc(temporary, func(e syscall.Errno) bool { return errors.Is(err, e) })
}
