// Package http1 reads and writes HTTP/1.1 messages within fixed limits. It is the only code that
// knows the framing of HTTP; it opens no connection and decides nothing.
package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// The limits of a message. A peer that goes past them gets an error, never more memory.
const (
	MaxHead    = 16 << 10 // the start line and all header fields
	MaxBody    = 64 << 10
	maxFields  = 100
	maxChunk   = 256      // a chunk's size line
	maxTrailer = 1 << 10  // all trailer fields
	maxStream  = 64 << 20 // one chunk of a stream
)

// SyntaxError says what is wrong with a message. After one the connection cannot be used further.
type SyntaxError struct {
	Reason   string
	TooLarge bool // the message is past a limit, not malformed
}

func (e *SyntaxError) Error() string { return "http: " + e.Reason }

func bad(format string, args ...any) error {
	return &SyntaxError{Reason: fmt.Sprintf(format, args...)}
}

func tooLarge(what string) error { return &SyntaxError{Reason: what + " is too large", TooLarge: true} }

// Field is one header field.
type Field struct{ Name, Value string }

// Fields are header fields in their order.
type Fields []Field

// Get returns the first value of a field, whatever the case of its name.
func (f Fields) Get(name string) string {
	for i := range f {
		if strings.EqualFold(f[i].Name, name) {
			return f[i].Value
		}
	}
	return ""
}

// Count returns how many fields of a name there are.
func (f Fields) Count(name string) (n int) {
	for i := range f {
		if strings.EqualFold(f[i].Name, name) {
			n++
		}
	}
	return n
}

// lists tells whether a field that holds words joined by commas has the word.
func (f Fields) lists(name, word string) bool {
	for i := range f {
		if !strings.EqualFold(f[i].Name, name) {
			continue
		}
		for w := range strings.SplitSeq(f[i].Value, ",") {
			if strings.EqualFold(strings.TrimSpace(w), word) {
				return true
			}
		}
	}
	return false
}

// Head is all of a message before its body.
type Head struct {
	Method, Target string // of a request
	Status         int    // of a response
	Fields         Fields
	Close          bool // the connection ends after this message
	Continue       bool // the sender waits for 100 before it sends the body

	length  int64 // of the body; -1: until the connection ends
	chunked bool
}

// line reads one line without its end; budget is what the head may still take.
func line(br *bufio.Reader, budget *int, what string) (string, error) {
	var long []byte
	for {
		part, err := br.ReadSlice('\n')
		*budget -= len(part)
		if *budget < 0 {
			return "", tooLarge(what)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, part...)
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(long)+len(part) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
		if long != nil {
			part = append(long, part...)
		}
		part = part[:len(part)-1]
		if n := len(part); n > 0 && part[n-1] == '\r' {
			part = part[:n-1]
		}
		for _, c := range part {
			if c < ' ' && c != '\t' || c == 0x7f {
				return "", bad("control character in %s", what)
			}
		}
		return string(part), nil
	}
}

func token(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

// fields reads header fields up to the empty line.
func fields(br *bufio.Reader, budget *int) (Fields, error) {
	var out Fields
	for {
		s, err := line(br, budget, "head")
		if err != nil {
			return nil, noEOF(err)
		}
		if s == "" {
			return out, nil
		}
		name, value, ok := strings.Cut(s, ":")
		if !ok || !token(name) { // a folded line or a space before the colon hides fields from others
			return nil, bad("malformed field")
		}
		if len(out) == maxFields {
			return nil, tooLarge("number of fields")
		}
		out = append(out, Field{name, strings.Trim(value, " \t")})
	}
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// ReadRequestHead reads a request up to its body. At a clean end of the connection it returns io.EOF.
func ReadRequestHead(br *bufio.Reader) (*Head, error) {
	budget := MaxHead
	s, err := line(br, &budget, "head")
	if err == nil && s == "" { // one empty line before a request is to be passed over
		s, err = line(br, &budget, "head")
	}
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(s, " ")
	target, version, _ := strings.Cut(rest, " ")
	if !token(method) || target == "" || target[0] != '/' && target != "*" || !isVersion(version) {
		return nil, bad("malformed request line")
	}
	h := &Head{Method: method, Target: target}
	if h.Fields, err = fields(br, &budget); err != nil {
		return nil, err
	}
	h.Continue = h.Fields.lists("Expect", "100-continue")
	return h, h.frame(version, false)
}

// ReadResponseHead reads a response up to its body, passing over interim ones.
func ReadResponseHead(br *bufio.Reader) (*Head, error) {
	for range 8 {
		budget := MaxHead
		s, err := line(br, &budget, "head")
		if err != nil {
			return nil, err
		}
		version, rest, _ := strings.Cut(s, " ")
		digits, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(digits)
		if !isVersion(version) || err != nil || len(digits) != 3 || status < 100 {
			return nil, bad("malformed status line")
		}
		h := &Head{Status: status}
		if h.Fields, err = fields(br, &budget); err != nil {
			return nil, err
		}
		if status < 200 {
			continue
		}
		return h, h.frame(version, true)
	}
	return nil, bad("too many interim responses")
}

func isVersion(s string) bool { return s == "HTTP/1.1" || s == "HTTP/1.0" }

// frame finds out where the body ends. What two readers could read in two ways is an error: a message
// that hides another one must not get through.
func (h *Head) frame(version string, response bool) error {
	h.Close = h.Fields.lists("Connection", "close") ||
		version == "HTTP/1.0" && !h.Fields.lists("Connection", "keep-alive")
	lengths, codings := 0, 0
	for _, f := range h.Fields {
		switch {
		case strings.EqualFold(f.Name, "Content-Length"):
			n, err := strconv.ParseUint(f.Value, 10, 62)
			if err != nil || lengths > 0 { // of two equal ones, others may still take only one
				return bad("malformed Content-Length")
			}
			h.length = int64(n)
			lengths++
		case strings.EqualFold(f.Name, "Transfer-Encoding"):
			if !strings.EqualFold(f.Value, "chunked") {
				return bad("unknown Transfer-Encoding")
			}
			codings++
		}
	}
	switch {
	case codings > 1 || codings == 1 && (lengths > 0 || version == "HTTP/1.0"):
		return bad("ambiguous length")
	case codings == 1:
		h.chunked = true
	case lengths > 0:
		if h.length > MaxBody {
			return tooLarge("body")
		}
	case response && h.Status != 204 && h.Status != 304:
		h.length, h.Close = -1, true
	}
	if response && (h.Status == 204 || h.Status == 304) {
		h.length, h.chunked = 0, false
	}
	return nil
}

// Sized tells whether the body has an end of its own, so that the connection can go on after it.
func (h *Head) Sized() bool { return h.length >= 0 }

// ReadBody reads the body that belongs to the head.
func (h *Head) ReadBody(br *bufio.Reader) ([]byte, error) {
	switch {
	case h.chunked:
		var body []byte
		c := Chunks{br: br}
		for {
			n, err := c.next()
			if err != nil {
				return nil, noEOF(err)
			}
			if n == 0 {
				return body, nil
			}
			if int64(len(body))+n > MaxBody {
				return nil, tooLarge("body")
			}
			from := len(body)
			body = append(body, make([]byte, n)...)
			if _, err := io.ReadFull(br, body[from:]); err != nil {
				return nil, noEOF(err)
			}
			c.left = 0
		}
	case h.length < 0:
		body, err := io.ReadAll(io.LimitReader(br, MaxBody+1))
		if err == nil && len(body) > MaxBody {
			err = tooLarge("body")
		}
		return body, err
	case h.length == 0:
		return nil, nil
	}
	body := make([]byte, h.length)
	_, err := io.ReadFull(br, body)
	return body, noEOF(err)
}

// Chunks reads a chunked body that stays open, piece by piece.
type Chunks struct {
	br   *bufio.Reader
	left int64
	any  bool
	done bool
}

// Stream returns the reader of a body without an end in sight.
func (h *Head) Stream(br *bufio.Reader) (*Chunks, error) {
	if !h.chunked {
		return nil, bad("the stream is not chunked")
	}
	return &Chunks{br: br}, nil
}

// next reads a chunk's size; 0 is the last, with its trailer read.
func (c *Chunks) next() (int64, error) {
	budget := maxChunk
	if c.any {
		if s, err := line(c.br, &budget, "chunk"); err != nil {
			return 0, err
		} else if s != "" {
			return 0, bad("malformed end of chunk")
		}
	}
	c.any = true
	s, err := line(c.br, &budget, "chunk size")
	if err != nil {
		return 0, err
	}
	s, _, _ = strings.Cut(s, ";")
	s = strings.TrimRight(s, " \t")
	n, err := strconv.ParseUint(s, 16, 32)
	if err != nil || n > maxStream {
		return 0, bad("malformed chunk size")
	}
	if n == 0 {
		budget = maxTrailer
		_, err = fields(c.br, &budget)
	}
	c.left = int64(n)
	return c.left, err
}

// Read implements io.Reader.
func (c *Chunks) Read(p []byte) (int, error) {
	if c.done || len(p) == 0 {
		return 0, io.EOF
	}
	if c.left == 0 {
		n, err := c.next()
		if err != nil {
			return 0, noEOF(err)
		}
		if n == 0 {
			c.done = true
			return 0, io.EOF
		}
	}
	n, err := c.br.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	return n, noEOF(err)
}

// AppendRequest appends a whole request. The caller's fields must not be ones that frame a message.
func AppendRequest(b []byte, method, target string, fields Fields, body []byte) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\n"...)
	return appendRest(b, fields, body, len(body) > 0 || method == "POST")
}

// AppendResponse appends a whole response; last says that the connection ends after it.
func AppendResponse(b []byte, status int, fields Fields, body []byte, last bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reason(status)...)
	b = append(b, "\r\n"...)
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return appendRest(b, fields, body, status != 204)
}

func appendRest(b []byte, fields Fields, body []byte, sized bool) []byte {
	for _, f := range fields {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	if sized {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}

func reason(status int) string {
	switch status {
	case 100:
		return "Continue"
	case 200:
		return "OK"
	case 204:
		return "No Content"
	case 400:
		return "Bad Request"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 408:
		return "Request Timeout"
	case 413:
		return "Content Too Large"
	case 500:
		return "Internal Server Error"
	case 502:
		return "Bad Gateway"
	case 503:
		return "Service Unavailable"
	}
	return "Status"
}

// EndToEnd returns the fields that a forwarder passes on: all but those of this one connection.
func (f Fields) EndToEnd(except ...string) Fields {
	out := make(Fields, 0, len(f)+1)
next:
	for _, x := range f {
		for _, name := range hopByHop {
			if strings.EqualFold(x.Name, name) {
				continue next
			}
		}
		for _, name := range except {
			if strings.EqualFold(x.Name, name) {
				continue next
			}
		}
		if !f.lists("Connection", x.Name) {
			out = append(out, x)
		}
	}
	return out
}

var hopByHop = []string{"Connection", "Keep-Alive", "Content-Length", "Transfer-Encoding", "TE",
	"Trailer", "Upgrade", "Expect", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization"}
