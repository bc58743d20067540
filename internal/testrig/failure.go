package testrig

import (
	"net"
	"os"
	"syscall"
)

// Failure returns an error as package net makes it of what a system call returns.
func Failure(call string, errno syscall.Errno) error {
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, errno)}
}
