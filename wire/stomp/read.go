package stomp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"slices"
	"unicode/utf8"
)

// The default limits of a Reader.
const (
	DefaultCommand = 32
	DefaultHeaders = 100
	DefaultHead    = 16 << 10
	DefaultBody    = 64 << 10
)

// Limits are the limits of frames that are read. Reading a frame that exceeds them fails and allocates no more memory. A value of
// zero or less stands for the default.
type Limits struct {
	Command int // bytes of the command, without its line ending
	Headers int // number of headers, including content-length
	Head    int // bytes of all header lines and the following empty line, with line endings, before unescaping
	Body    int // bytes, without the NUL
}

func (l Limits) withDefaults() Limits {
	for _, x := range []struct {
		limit *int
		or    int
	}{{&l.Command, DefaultCommand}, {&l.Headers, DefaultHeaders}, {&l.Head, DefaultHead}, {&l.Body, DefaultBody}} {
		if *x.limit <= 0 {
			*x.limit = x.or
		}
		*x.limit = min(*x.limit, math.MaxInt32)
	}
	return l
}

// Limits of the buffers that a Reader keeps from one frame to the next. They are small because most sessions are idle.
const (
	maxKeptBytes  = 1 << 10
	maxKeptFields = 32
)

// Reader reads frames from a stream. It is not safe for concurrent use.
type Reader struct {
	br      *bufio.Reader
	limits  Limits
	version Version
	beats   uint64
	buf     []byte // the head so far: concatenated unescaped names and values
	ends    []int  // the end of each of them in buf
	err     error
}

// NewReader returns a Reader with version 0. It consumes no bytes of br beyond the frames and line endings that it has
// returned, so that other code may read from br between frames.
func NewReader(br *bufio.Reader, limits Limits) *Reader {
	return &Reader{br: br, limits: limits.withDefaults()}
}

// SetVersion sets the version for the following frames, after negotiation by CONNECT and CONNECTED.
func (r *Reader) SetVersion(v Version) { r.version = v }

// Beats returns the number of line endings between frames that were skipped so far, including those directly after a frame.
func (r *Reader) Beats() uint64 { return r.beats }

// Next reads one frame into f, or skips heart-beats: then f.Command is Beat and the rest of f is empty. It
// returns Beat as soon as no more line endings are buffered, without waiting for a frame.
//
// f.Headers is overwritten and its array is reused: it is valid until the next call of Next with f. Its strings are never
// overwritten; each of them keeps the memory of all headers of the frame alive. f.Body is not reused.
//
// If the stream ends between frames, the error is io.EOF, and within a frame it is io.ErrUnexpectedEOF. After any error
// f.Command is Beat, and every later call returns the same error. The exception is another error of br between frames,
// such as a deadline: nothing was lost, and the next call continues.
func (r *Reader) Next(f *Frame) error {
	f.reset()
	if r.err != nil {
		return r.err
	}
	beat, err := r.skipLineEndings()
	if err != nil || beat {
		return err
	}
	if r.err = r.readFrame(f); r.err != nil {
		f.reset()
	}
	return r.err
}

// reset empties a frame and releases the strings of its headers.
func (f *Frame) reset() {
	clear(f.Headers)
	headers := f.Headers[:0]
	if cap(headers) > maxKeptFields {
		headers = nil
	}
	*f = Frame{Headers: headers}
}

// skipLineEndings skips the buffered line endings, waiting for a byte if nothing is buffered. It reports whether there were any.
// CR LF is accepted in every version: a client may send one after its CONNECT, before it knows the version.
func (r *Reader) skipLineEndings() (any bool, err error) {
	for {
		if any && r.br.Buffered() == 0 {
			return true, nil
		}
		b, err := r.br.Peek(1)
		if err != nil {
			if errors.Is(err, io.EOF) {
				r.err = err
			}
			return false, err
		}
		length := 1
		switch {
		case b[0] == '\r' && any && r.br.Buffered() < 2:
			return true, nil // its LF has not arrived yet
		case b[0] == '\r':
			if b, err = r.br.Peek(2); err != nil {
				if errors.Is(err, io.EOF) {
					err = io.ErrUnexpectedEOF
					r.err = err
				}
				return false, err
			}
			if b[1] != '\n' {
				r.err = syntaxError("CR without LF between frames")
				return false, r.err
			}
			length = 2
		case b[0] != '\n':
			return any, nil
		}
		r.br.Discard(length)
		r.beats++
		any = true
	}
}

// readFrame reads a frame whose first byte is buffered.
func (r *Reader) readFrame(f *Frame) error {
	r.buf, r.ends = r.buf[:0], r.ends[:0]
	budget := r.limits.Command + len("\r\n")
	line, err := r.readLine(&budget, "a command")
	if errors.Is(err, errBudget) || err == nil && len(line) > r.limits.Command {
		return &TooLargeError{"the command's length", r.limits.Command}
	}
	if err != nil {
		return err
	}
	command, ok := parseCommand(line)
	if !ok {
		return syntaxError("unknown command %.40q", line)
	}
	if !command.existsIn(r.version) {
		return syntaxError("unknown command %s in STOMP %v", command, r.version)
	}
	f.Command = command
	length, err := r.readHeaders(command)
	if errors.Is(err, errBudget) {
		return &TooLargeError{"the headers' bytes", r.limits.Head}
	}
	if err != nil {
		return err
	}
	f.Headers = r.buildFields(f.Headers)
	if cap(r.buf) > maxKeptBytes {
		r.buf = nil
	}
	if cap(r.ends) > 2*maxKeptFields {
		r.ends = nil
	}
	f.Body, err = r.readBody(command, length)
	return err
}

// errBudget is returned for a line that exceeds the budget of its part.
var errBudget = errors.New("stomp: over budget")

// readLine appends one line to buf and returns it without its line ending. in names the part in error messages; budget is
// the number of bytes left for the part. The first invalid byte determines the error, independent of how the network
// splits the stream.
func (r *Reader) readLine(budget *int, in string) ([]byte, error) {
	from := len(r.buf)
	crlf := r.version == 0 || r.version >= V12
	cr := false // the last byte was a CR
	for {
		if *budget == 0 {
			return nil, errBudget
		}
		if _, err := r.br.Peek(1); err != nil {
			return nil, unexpectedEOF(err)
		}
		b, _ := r.br.Peek(min(r.br.Buffered(), *budget))
		end := -1
		for i, c := range b {
			if c >= ' ' && c != 0x7f && !cr {
				continue
			}
			if c == '\n' {
				end = i
				break
			}
			if cr {
				return nil, syntaxError("CR without LF in %s", in)
			}
			if cr = c == '\r' && crlf; cr {
				continue
			}
			if c == '\r' {
				return nil, syntaxError("CR in %s, which STOMP %v does not know", in, r.version)
			}
			if isControl(c) {
				return nil, syntaxError("control character 0x%02x in %s", c, in)
			}
		}
		if end < 0 {
			r.buf = append(r.buf, b...)
			*budget -= len(b)
			r.br.Discard(len(b))
			continue
		}
		r.buf = append(r.buf, b[:end]...)
		*budget -= end + 1
		r.br.Discard(end + 1)
		if cr {
			r.buf = r.buf[:len(r.buf)-1]
		}
		return r.buf[from:], nil
	}
}

// isControl reports whether a byte must not appear unescaped in a head. A tab may, as in HTTP.
func isControl(c byte) bool { return c < ' ' && c != '\t' || c == 0x7f }

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readHeaders reads headers up to the empty line. It returns the content-length, or -1 if there is none.
func (r *Reader) readHeaders(command Command) (length int, err error) {
	rule := escapesOf(r.version, command)
	budget := r.limits.Head
	length = -1
	r.buf = r.buf[:0]
	for {
		from := len(r.buf)
		line, err := r.readLine(&budget, "a header")
		if err != nil {
			return 0, err
		}
		if len(line) == 0 {
			return length, nil
		}
		// The number of this header, counting content-length.
		number := len(r.ends)/2 + 1
		if length >= 0 {
			number++
		}
		if number > r.limits.Headers {
			return 0, &TooLargeError{"the number of headers", r.limits.Headers}
		}
		if r.version >= V11 && !utf8.Valid(line) {
			return 0, syntaxError("%s: header %d is not UTF-8", command, number)
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			return 0, syntaxError("%s: header %d has no colon", command, number)
		}
		if name, ok = rule.unescape(name); !ok {
			return 0, syntaxError("%s: undefined escape in the name of header %d", command, number)
		}
		if len(name) == 0 {
			return 0, syntaxError("%s: header %d has no name", command, number)
		}
		if value, ok = rule.unescape(value); !ok {
			return 0, syntaxError("%s: undefined escape in header %.40q", command, name)
		}
		if string(name) == contentLength {
			if length >= 0 { // other implementations may use the last one
				return 0, syntaxError("%s: content-length is repeated", command)
			}
			if length, err = r.parseLength(command, value); err != nil {
				return 0, err
			}
			r.buf = r.buf[:from]
			continue
		}
		r.buf = append(r.buf[:from+len(name)], value...)
		r.ends = append(r.ends, from+len(name), len(r.buf))
	}
}

// parseLength parses the value of a content-length.
func (r *Reader) parseLength(command Command, value []byte) (int, error) {
	n := 0
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, syntaxError("%s: content-length %.40q is not a number", command, value)
		}
		n = min(n*10+int(c-'0'), r.limits.Body+1)
	}
	switch {
	case len(value) == 0:
		return 0, syntaxError("%s: content-length is empty", command)
	case n > 0 && !command.hasBody():
		return 0, syntaxError("%s has no body, but a content-length of %.40q", command, value)
	case n > r.limits.Body:
		return 0, &TooLargeError{"the body's bytes", r.limits.Body}
	}
	return n, nil
}

// buildFields builds the headers from what readHeaders has read, reusing the array of old. All names and values share one string.
func (r *Reader) buildFields(old Fields) Fields {
	all, from := string(r.buf), 0
	out := slices.Grow(old[:0], len(r.ends)/2)
	for i := 0; i < len(r.ends); i += 2 {
		name, value := r.ends[i], r.ends[i+1]
		out = append(out, Field{Name: all[from:name], Value: all[name:value]})
		from = value
	}
	return out
}

// readBody reads the body after the head, and the NUL after it.
func (r *Reader) readBody(command Command, length int) ([]byte, error) {
	if command.hasBody() && length < 0 {
		return r.readBodyToNUL()
	}
	var body []byte
	if length > 0 {
		body = make([]byte, length)
		if _, err := io.ReadFull(r.br, body); err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	end, err := r.br.ReadByte()
	switch {
	case err != nil:
		return nil, unexpectedEOF(err)
	case end == 0:
		return body, nil
	case !command.hasBody():
		return nil, syntaxError("%s has a body", command)
	}
	return nil, syntaxError("%s: no NUL behind the content-length of %d", command, length)
}

// readBodyToNUL reads a body that has no content-length and is terminated by a NUL.
func (r *Reader) readBodyToNUL() ([]byte, error) {
	var body []byte
	for {
		b, err := r.br.ReadSlice(0)
		ended := err == nil
		if ended {
			b = b[:len(b)-1]
		}
		if len(body)+len(b) > r.limits.Body {
			return nil, &TooLargeError{"the body's bytes", r.limits.Body}
		}
		body = append(body, b...)
		if ended {
			return body, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, unexpectedEOF(err)
		}
	}
}
