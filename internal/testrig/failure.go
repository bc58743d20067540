package testrig

import (
	"net"
	"os"
	"syscall"
)

// SyscallError returns the error that package net returns if a system call fails with errno.
func SyscallError(call string, errno syscall.Errno) error {
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, errno)}
}
