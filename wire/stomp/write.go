package stomp

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// escapes are the escape sequences that a version has in names and values of headers.
type escapes int

const (
	noEscapes    escapes = iota
	newlineColon         // \n \c \\
	allEscapes           // and \r
)

func escapesOf(v Version, c Command) escapes {
	switch {
	case v < V11 || c.isUnescaped():
		return noEscapes
	case v == V11:
		return newlineColon
	}
	return allEscapes
}

// escapeChar returns the character that follows the backslash in the escape of a byte, or 0 if the byte is not escaped.
func (e escapes) escapeChar(c byte) byte {
	switch {
	case e == noEscapes:
	case c == '\n':
		return 'n'
	case c == ':':
		return 'c'
	case c == '\\':
		return '\\'
	case c == '\r' && e == allEscapes:
		return 'r'
	}
	return 0
}

// unescape replaces the escapes in a name or value in place. ok is false if there is one that the version does not have.
func (e escapes) unescape(b []byte) (out []byte, ok bool) {
	if e == noEscapes || bytes.IndexByte(b, '\\') < 0 {
		return b, true
	}
	out = b[:0]
	for i := 0; i < len(b); i++ {
		c := b[i]
		if c == '\\' {
			if i++; i == len(b) {
				return nil, false
			}
			switch {
			case b[i] == 'n':
				c = '\n'
			case b[i] == 'c':
				c = ':'
			case b[i] == '\\':
			case b[i] == 'r' && e == allEscapes:
				c = '\r'
			default:
				return nil, false
			}
		}
		out = append(out, c)
	}
	return out, true
}

// special marks the bytes that may need an escape or cannot be written; most texts have none.
var special = func() (t [256]bool) {
	for c := range t {
		t[c] = isControl(byte(c)) || c == ':' || c == '\\'
	}
	return t
}()

// encodedSize returns the size of s with its escapes, or the reason why s cannot be written.
func (e escapes) encodedSize(s string, name bool) (n int, why string) {
	n = len(s)
	for i := 0; i < len(s); i++ {
		if !special[s[i]] {
			continue
		}
		switch c := s[i]; {
		case e.escapeChar(c) != 0:
			n++
		case c == '\n':
			return 0, "a line feed"
		case c == '\r':
			return 0, "a carriage return"
		case isControl(c):
			return 0, "control character 0x" + strconv.FormatUint(uint64(c), 16)
		case c == ':' && name:
			return 0, "a colon"
		}
	}
	return n, ""
}

func (e escapes) append(b []byte, s string) []byte {
	from := 0
	for i := 0; i < len(s) && e != noEscapes; i++ {
		if !special[s[i]] {
			continue
		}
		if c := e.escapeChar(s[i]); c != 0 {
			b = append(append(b, s[from:i]...), '\\', c)
			from = i + 1
		}
	}
	return append(b, s[from:]...)
}

// AppendFrame appends a frame as encoded in a version, with LF as line ending, and with a content-length if there is a
// body. Apart from limits, a Reader of that version reads the same frame back; version 0 is for frames before negotiation.
// For a frame that cannot be encoded the error is a *SyntaxError, and b is returned unchanged.
func AppendFrame(b []byte, v Version, f *Frame) ([]byte, error) {
	size, err := frameSize(v, f)
	if err != nil {
		return b, err
	}
	b = slices.Grow(b, size)
	b = append(b, f.Command...)
	b = append(b, '\n')
	rule := escapesOf(v, f.Command)
	for i := range f.Headers {
		b = rule.append(b, f.Headers[i].Name)
		b = append(b, ':')
		b = rule.append(b, f.Headers[i].Value)
		b = append(b, '\n')
	}
	if len(f.Body) > 0 {
		b = append(b, contentLength+":"...)
		b = strconv.AppendInt(b, int64(len(f.Body)), 10)
		b = append(b, '\n')
	}
	b = append(b, '\n')
	b = append(b, f.Body...)
	return append(b, 0), nil
}

// frameSize returns an upper limit of a frame's encoded size, or an error if the frame cannot be written.
func frameSize(v Version, f *Frame) (int, error) {
	if v > V12 {
		return 0, syntaxError("cannot write %v", v)
	}
	// Quoting a copy of the command keeps the frame from escaping to the heap.
	if !slices.Contains(commands, f.Command) {
		return 0, syntaxError("cannot write the unknown command %.40q", strings.Clone(string(f.Command)))
	}
	if !f.Command.existsIn(v) {
		return 0, syntaxError("cannot write %s in STOMP %v", f.Command, v)
	}
	if len(f.Body) > 0 && !f.Command.hasBody() {
		return 0, syntaxError("cannot write a body in %s", f.Command)
	}
	rule := escapesOf(v, f.Command)
	size := len(f.Command) + len("\n\n\x00") + len(contentLength+":\n") + 20 + len(f.Body)
	for i := range f.Headers {
		name, value := f.Headers[i].Name, f.Headers[i].Value
		switch {
		case name == "":
			return 0, syntaxError("cannot write %s: header %d has no name", f.Command, i+1)
		case name == contentLength:
			return 0, syntaxError("cannot write %s: content-length is the writer's own", f.Command)
		case v >= V11 && !(utf8.ValidString(name) && utf8.ValidString(value)):
			return 0, syntaxError("cannot write %s: header %.40q is not UTF-8", f.Command, name)
		}
		n, why := rule.encodedSize(name, true)
		if why != "" {
			return 0, syntaxError("cannot write %s in STOMP %v: %s in the name %.40q", f.Command, v, why, name)
		}
		m, why := rule.encodedSize(value, false)
		if why != "" {
			return 0, syntaxError("cannot write %s in STOMP %v: %s in header %.40q", f.Command, v, why, name)
		}
		size += n + m + len(":\n")
	}
	return size, nil
}

// AppendBeat appends a heart-beat.
func AppendBeat(b []byte) []byte { return append(b, '\n') }
