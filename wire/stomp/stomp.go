// Package stomp reads and writes the frames of STOMP 1.0, 1.1 and 1.2 within fixed limits. It is the only code that
// knows how a frame is put into bytes; it opens no connection, keeps no time, and decides nothing: which frames a
// client may send when, and what they do, is its callers' to say.
//
// It never takes a frame that others might end elsewhere, and never writes one that it would not read back the same.
// docs/design/stomp.md tells how it reads what the specifications leave open.
package stomp

import (
	"fmt"
	"slices"
)

// Command is the first line of a frame.
type Command string

// The commands of all three versions. The zero Command is no frame: see Reader.Next.
const (
	Beat Command = ""

	// Of clients.
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

	// Of servers.
	CONNECTED Command = "CONNECTED"
	MESSAGE   Command = "MESSAGE"
	RECEIPT   Command = "RECEIPT"
	ERROR     Command = "ERROR"
)

// commands are all that a frame may begin with.
var commands = []Command{CONNECT, STOMP, SEND, SUBSCRIBE, UNSUBSCRIBE, ACK, NACK, BEGIN, COMMIT, ABORT, DISCONNECT,
	CONNECTED, MESSAGE, RECEIPT, ERROR}

// known returns the command of a line, which costs no memory as the name is one of those above.
func known(line []byte) (Command, bool) {
	i := slices.IndexFunc(commands, func(c Command) bool { return string(c) == string(line) })
	if i < 0 {
		return "", false
	}
	return commands[i], true
}

// in tells whether a version has the command.
func (c Command) in(v Version) bool { return v != V10 || c != STOMP && c != NACK }

// hasBody tells whether a frame of the command may have a body.
func (c Command) hasBody() bool { return c == SEND || c == MESSAGE || c == ERROR }

// plain tells whether the command's headers are never escaped, so that they can be read before the version is known.
func (c Command) plain() bool { return c == CONNECT || c == STOMP || c == CONNECTED }

// Field is one header. It is an alias, as job.Field is: fields pass from one to the other as they are.
type Field = struct{ Name, Value string }

// Fields are a frame's headers in their order. Names are compared as they are: case matters.
type Fields []Field

// Lookup returns the first value of a header, which is the one that counts, and whether there is one.
func (f Fields) Lookup(name string) (string, bool) {
	for i := range f {
		if f[i].Name == name {
			return f[i].Value, true
		}
	}
	return "", false
}

// Get returns the first value of a header, which is the one that counts; "" if there is none.
func (f Fields) Get(name string) string {
	value, _ := f.Lookup(name)
	return value
}

// Count returns how many headers of a name there are, for those that may stand there but once.
func (f Fields) Count(name string) (n int) {
	for i := range f {
		if f[i].Name == name {
			n++
		}
	}
	return n
}

// Frame is one frame. Headers hold no content-length: it belongs to the framing, and a writer always gives its own.
// The Body is nil where there is none or an empty one, which STOMP does not tell apart.
type Frame struct {
	Command Command
	Headers Fields
	Body    []byte
}

// contentLength is the one header that is the framing's and nobody else's.
const contentLength = "content-length"

// SyntaxError says what is wrong with a frame. After one that was read the connection cannot be used further.
type SyntaxError struct{ Reason string }

func (e *SyntaxError) Error() string { return "stomp: " + e.Reason }

// TooLargeError says which limit a frame is past. What it is about may be well-formed; the connection cannot be used
// further all the same, as the rest of the frame is not read.
type TooLargeError struct {
	What  string // in words
	Limit int    // bytes, or headers
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("stomp: %s over the limit of %d", e.What, e.Limit)
}

// bad makes a SyntaxError. What peers sent is quoted with %.40q, so that no reason is long; values are not quoted at
// all but for a content-length and what CONNECT agrees on, as they may be secrets.
func bad(format string, args ...any) error {
	return &SyntaxError{Reason: fmt.Sprintf(format, args...)}
}
