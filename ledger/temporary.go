package ledger

import (
	"errors"
	"slices"
	"syscall"
)

// temporaryErrors are the errors of system calls on a folder that may accept writes again without any action on this program:
// once there is space, or the device answers.
var temporaryErrors = []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, syscall.EIO, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE,
	syscall.EAGAIN, syscall.EINTR, syscall.EBUSY, syscall.ETIMEDOUT}

// Temporary reports whether a write failed for a reason that may pass. A folder that is missing, may not be written or is not
// the one that was opened does not recover by itself.
func Temporary(err error) bool {
	if errors.Is(err, ErrBusy) || errors.Is(err, errDiskTimeout) {
		return true
	}
	return slices.ContainsFunc(temporaryErrors, func(e syscall.Errno) bool { return errors.Is(err, e) })
}
