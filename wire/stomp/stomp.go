// Package stomp reads and writes the frames of STOMP 1.0, 1.1 and 1.2 within fixed limits. It is the only code that
// knows the encoding of frames; it opens no connection, has no timers, and makes no decisions: callers determine which
// frames a client may send when, and what they do.
//
// It never accepts a frame whose end other implementations might see elsewhere, and never writes one that it would not
// read back the same. docs/design/stomp.md describes how it handles cases that the specifications leave open.
package stomp

import (
	"fmt"
	"slices"
)

// Command is the first line of a frame.
type Command string

// The commands of all three versions. The zero Command is a heart-beat, see Reader.Next.
const (
	Beat Command = ""

	// Client commands.
	CONNECT     Command = "CONNECT"
	STOMP       Command = "STOMP" // a CONNECT under another name, since 1.1
	SEND        Command = "SEND"
	SUBSCRIBE   Command = "SUBSCRIBE"
	UNSUBSCRIBE Command = "UNSUBSCRIBE"
	ACK         Command = "ACK"
	NACK        Command = "NACK" // since 1.1
	BEGIN       Command = "BEGIN"
	COMMIT      Command = "COMMIT"
	ABORT       Command = "ABORT"
	DISCONNECT  Command = "DISCONNECT"

	// Server commands.
	CONNECTED Command = "CONNECTED"
	MESSAGE   Command = "MESSAGE"
	RECEIPT   Command = "RECEIPT"
	ERROR     Command = "ERROR"
)

// commands are all commands that a frame may have.
var commands = []Command{CONNECT, STOMP, SEND, SUBSCRIBE, UNSUBSCRIBE, ACK, NACK, BEGIN, COMMIT, ABORT, DISCONNECT,
	CONNECTED, MESSAGE, RECEIPT, ERROR}

// parseCommand returns the command of a line. It returns the constant, so it does not allocate.
func parseCommand(line []byte) (Command, bool) {
	i := slices.IndexFunc(commands, func(c Command) bool { return string(c) == string(line) })
	if i < 0 {
		return "", false
	}
	return commands[i], true
}

// existsIn reports whether a version has the command.
func (c Command) existsIn(v Version) bool { return v != V10 || c != STOMP && c != NACK }

// hasBody reports whether a frame of the command may have a body.
func (c Command) hasBody() bool { return c == SEND || c == MESSAGE || c == ERROR }

// isUnescaped reports whether the command's headers are never escaped, so that they can be read before the version is known.
func (c Command) isUnescaped() bool { return c == CONNECT || c == STOMP || c == CONNECTED }

// Field is one header. It is an alias, as is job.Field, so that fields need no conversion between the two.
type Field = struct{ Name, Value string }

// Fields are a frame's headers in their order. Names are case-sensitive.
type Fields []Field

// Lookup returns the first value of a header, which is the effective one, and whether there is one.
func (f Fields) Lookup(name string) (string, bool) {
	for i := range f {
		if f[i].Name == name {
			return f[i].Value, true
		}
	}
	return "", false
}

// Get returns the first value of a header, which is the effective one, or "" if there is none.
func (f Fields) Get(name string) string {
	value, _ := f.Lookup(name)
	return value
}

// Count returns the number of headers of a name, for headers that must not be repeated.
func (f Fields) Count(name string) (n int) {
	for i := range f {
		if f[i].Name == name {
			n++
		}
	}
	return n
}

// Frame is one frame. Headers never contain content-length: it is part of the framing, and AppendFrame adds it.
// Body is nil if the frame has no body or an empty one, which STOMP does not distinguish.
type Frame struct {
	Command Command
	Headers Fields
	Body    []byte
}

// contentLength is the only header that is part of the framing.
const contentLength = "content-length"

// SyntaxError is the error for an invalid frame. If it occurs on reading, the connection cannot be used after it.
type SyntaxError struct{ Reason string }

func (e *SyntaxError) Error() string { return "stomp: " + e.Reason }

// TooLargeError is the error for a frame that exceeds a limit. The frame may be well-formed, but the connection cannot be
// used after it, because the rest of the frame is not read.
type TooLargeError struct {
	What  string // the quantity that is limited
	Limit int    // bytes, or headers
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("stomp: %s over the limit of %d", e.What, e.Limit)
}

// syntaxError returns a SyntaxError. Text from peers is quoted with %.40q, so that no reason gets long. Header values may be secrets
// and are not quoted, except those of content-length and of the headers that CONNECT negotiates.
func syntaxError(format string, args ...any) error {
	return &SyntaxError{Reason: fmt.Sprintf(format, args...)}
}
