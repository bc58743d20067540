// Package http1 reads and writes HTTP/1.1 messages within fixed limits. It is the only code that
// knows the framing of HTTP; it opens no connection and makes no decisions.
//
// It never accepts a message whose end other implementations might see elsewhere: what it accepts, net/http accepts
// as well and reads the same, except for the harmless differences listed at FuzzDifferential. It is stricter than
// net/http: a target must be a path, an HTTP/1.0 request must not have a transfer coding, and Content-Length must
// not be repeated.
package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// The limits of a message. Reading a message that exceeds them fails and allocates no more memory.
const (
	MaxHead    = 16 << 10 // the start line and all header fields
	MaxBody    = 64 << 10
	maxFields  = 100
	maxChunk   = 256      // a chunk's size line
	maxTrailer = 1 << 10  // all trailer fields
	maxExcess  = 16 << 10 // all size lines, beyond 16 bytes and twice the data of each chunk
	maxStream  = 64 << 20 // one chunk of a stream
)

// SyntaxError is the error for an invalid or too large message. The connection cannot be used after it.
type SyntaxError struct {
	Reason   string
	TooLarge bool // the message exceeds a limit and is not malformed
}

func (e *SyntaxError) Error() string { return "http: " + e.Reason }

func syntaxError(format string, args ...any) error {
	return &SyntaxError{Reason: fmt.Sprintf(format, args...)}
}

func tooLarge(what string) error { return &SyntaxError{Reason: what + " is too large", TooLarge: true} }

// Protocol is the name of the protocol.
const Protocol = "HTTP/1.1"

// Field is one header field. It is an alias, as is job.Field, so that fields need no conversion between the two.
type Field = struct{ Name, Value string }

// Fields are header fields in the order of the message.
type Fields []Field

// Get returns the value of the first field of a name, ignoring the case of the name, or "".
func (f Fields) Get(name string) string {
	for i := range f {
		if strings.EqualFold(f[i].Name, name) {
			return f[i].Value
		}
	}
	return ""
}

// Count returns the number of fields of a name.
func (f Fields) Count(name string) (n int) {
	for i := range f {
		if strings.EqualFold(f[i].Name, name) {
			n++
		}
	}
	return n
}

// listContains reports whether a field whose value is a comma-separated list contains a word.
func (f Fields) listContains(name, word string) bool {
	for i := range f {
		if !strings.EqualFold(f[i].Name, name) {
			continue
		}
		for w := range strings.SplitSeq(f[i].Value, ",") {
			if equalFoldASCII(strings.Trim(w, " \t"), word) {
				return true
			}
		}
	}
	return false
}

// equalFoldASCII compares ASCII words, ignoring case. In Unicode other letters fold to k and s too, which other implementations do not
// accept: hence the comparison of lengths.
func equalFoldASCII(s, word string) bool { return len(s) == len(word) && strings.EqualFold(s, word) }

// Head is the part of a message before its body.
type Head struct {
	Method, Target string // of a request
	Status         int    // of a response
	Fields         Fields
	Close          bool // the connection ends after this message
	Continue       bool // the sender waits for status 100 before it sends the body

	length    int64 // of the body; -1: until the connection ends
	bodyLimit int64 // limit of the body's length; 0: MaxBody
	chunked   bool
}

// maxBody returns the limit of the body's length.
func (h *Head) maxBody() int64 {
	if h.bodyLimit > 0 {
		return h.bodyLimit
	}
	return MaxBody
}

// part is a part of a message that consists of lines.
type part struct {
	name string
	crlf bool // lines must end with CR LF
}

// In a head, a bare LF ends a line in every implementation that accepts it (RFC 9112, 2.2), and it is not forwarded.
// In a chunked body, some implementations count it as data and so see another end of the body.
var (
	inHead    = part{"head", false}
	inSize    = part{"chunk size", true}
	inTrailer = part{"trailer", true}
)

// readLine reads one line and returns it without its line ending. budget is the number of bytes left for the part.
func readLine(br *bufio.Reader, budget *int, in part) (string, error) {
	var long []byte
	for {
		b, err := br.ReadSlice('\n')
		*budget -= len(b)
		if *budget < 0 {
			return "", tooLarge(in.name)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, b...)
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(long)+len(b) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
		if long != nil {
			b = append(long, b...)
		}
		b = b[:len(b)-1]
		if n := len(b); n > 0 && b[n-1] == '\r' {
			b = b[:n-1]
		} else if in.crlf {
			return "", syntaxError("bare LF in %s", in.name)
		}
		for _, c := range b {
			if c < ' ' && c != '\t' || c == 0x7f {
				return "", syntaxError("control character in %s", in.name)
			}
		}
		return string(b), nil
	}
}

func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

// readFields reads header fields up to the empty line.
func readFields(br *bufio.Reader, budget *int, in part) (Fields, error) {
	var out Fields
	for {
		s, err := readLine(br, budget, in)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if s == "" {
			return out, nil
		}
		name, value, ok := strings.Cut(s, ":")
		if !ok || !isToken(name) { // other readers may miss a field that is folded or has a space before the colon
			return nil, syntaxError("malformed field")
		}
		if len(out) == maxFields {
			return nil, tooLarge("number of fields")
		}
		out = append(out, Field{Name: name, Value: strings.Trim(value, " \t")})
	}
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// ReadRequestHead reads a request up to its body. If the connection ends before the request, it returns io.EOF.
func ReadRequestHead(br *bufio.Reader) (*Head, error) {
	budget := MaxHead
	s, err := readLine(br, &budget, inHead)
	if err == nil && s == "" { // one empty line before a request is skipped
		s, err = readLine(br, &budget, inHead)
	}
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(s, " ")
	target, version, _ := strings.Cut(rest, " ")
	// Some implementations split a request line at tabs too. "*" is valid for OPTIONS only, and for CONNECT it would be a host.
	if !isToken(method) || !strings.HasPrefix(target, "/") && (target != "*" || method != "OPTIONS") ||
		strings.Contains(target, "\t") || !isVersion(version) {
		return nil, syntaxError("malformed request line")
	}
	h := &Head{Method: method, Target: target}
	if h.Fields, err = readFields(br, &budget, inHead); err != nil {
		return nil, err
	}
	if h.Fields.Count("Host") > 1 {
		return nil, syntaxError("Host is repeated")
	}
	h.Continue = version == "HTTP/1.1" && h.Fields.listContains("Expect", "100-continue")
	return h, h.parseFraming(version, false)
}

// ReadResponseHead reads a response up to its body, skipping interim responses. A body of over MaxBody bytes is an error.
func ReadResponseHead(br *bufio.Reader) (*Head, error) { return ReadResponseHeadUpTo(br, MaxBody) }

// ReadResponseHeadUpTo is ReadResponseHead with a limit of that many bytes for the body.
func ReadResponseHeadUpTo(br *bufio.Reader, limit int64) (*Head, error) {
	for range 8 {
		budget := MaxHead
		s, err := readLine(br, &budget, inHead)
		if err != nil {
			return nil, err
		}
		version, rest, _ := strings.Cut(s, " ")
		digits, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(digits)
		if !isVersion(version) || err != nil || len(digits) != 3 || status < 100 {
			return nil, syntaxError("malformed status line")
		}
		h := &Head{Status: status, bodyLimit: limit}
		if h.Fields, err = readFields(br, &budget, inHead); err != nil {
			return nil, err
		}
		if status == 101 {
			return nil, syntaxError("unrequested change of protocol")
		}
		if err := h.parseFraming(version, true); err != nil {
			return nil, err // an interim response has no body, but its framing fields must be valid
		}
		if status >= 200 {
			return h, nil
		}
	}
	return nil, syntaxError("too many interim responses")
}

func isVersion(s string) bool { return s == "HTTP/1.1" || s == "HTTP/1.0" }

// parseFraming determines where the body ends. Ambiguous framing is an error, because a message could hide another one in
// it (request smuggling).
func (h *Head) parseFraming(version string, response bool) error {
	h.Close = h.Fields.listContains("Connection", "close") ||
		version == "HTTP/1.0" && !h.Fields.listContains("Connection", "keep-alive")
	lengths, codings := 0, 0
	for _, f := range h.Fields {
		switch {
		case strings.EqualFold(f.Name, "Content-Length"):
			n, err := strconv.ParseUint(f.Value, 10, 62)
			if err != nil || lengths > 0 { // even of two equal ones, other implementations may accept only one
				return syntaxError("malformed Content-Length")
			}
			h.length = int64(n)
			lengths++
		case strings.EqualFold(f.Name, "Transfer-Encoding"):
			if !equalFoldASCII(f.Value, "chunked") {
				return syntaxError("unknown Transfer-Encoding")
			}
			codings++
		}
	}
	switch {
	case codings > 1 || codings == 1 && (lengths > 0 || version == "HTTP/1.0"):
		return syntaxError("ambiguous length")
	case codings == 1:
		h.chunked = true
		for _, name := range forbiddenTrailers {
			if h.Fields.listContains("Trailer", name) {
				return syntaxError("%s as a trailer", name)
			}
		}
	case lengths > 0:
		if h.length > h.maxBody() {
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

// Sized reports whether the body ends before the connection does, so that the connection can be used after it.
func (h *Head) Sized() bool { return h.length >= 0 }

// ReadBody reads the body that belongs to the head.
func (h *Head) ReadBody(br *bufio.Reader) ([]byte, error) {
	switch {
	case h.chunked:
		var body []byte
		c := Chunks{br: br}
		for {
			n, err := c.nextChunk()
			if err != nil {
				return nil, unexpectedEOF(err)
			}
			if n == 0 {
				return body, nil
			}
			if int64(len(body))+n > h.maxBody() {
				return nil, tooLarge("body")
			}
			from := len(body)
			body = append(body, make([]byte, n)...)
			if _, err := io.ReadFull(br, body[from:]); err != nil {
				return nil, unexpectedEOF(err)
			}
			c.remaining = 0
		}
	case h.length < 0:
		body, err := io.ReadAll(io.LimitReader(br, h.maxBody()+1))
		if err == nil && int64(len(body)) > h.maxBody() {
			err = tooLarge("body")
		}
		return body, err
	case h.length == 0:
		return nil, nil
	}
	body := make([]byte, h.length)
	_, err := io.ReadFull(br, body)
	return body, unexpectedEOF(err)
}

// Chunks is a reader of a chunked body that is delivered as it arrives. After an error it reads nothing more.
type Chunks struct {
	br        *bufio.Reader
	remaining int64 // bytes left of the current chunk
	excess    int64 // bytes of size lines beyond their share, see maxExcess
	started   bool
	err       error
}

// Stream returns a reader of a chunked body that may stay open.
func (h *Head) Stream(br *bufio.Reader) (*Chunks, error) {
	if !h.chunked {
		return nil, syntaxError("the stream is not chunked")
	}
	return &Chunks{br: br}, nil
}

// nextChunk reads the size of the next chunk. 0 is the last chunk; its trailer has been read then.
func (c *Chunks) nextChunk() (int64, error) {
	if c.started {
		if end, err := c.br.Peek(2); err != nil {
			return 0, err
		} else if string(end) != "\r\n" {
			return 0, syntaxError("malformed end of chunk")
		}
		c.br.Discard(2)
	}
	c.started = true
	budget := maxChunk
	s, err := readLine(c.br, &budget, inSize)
	if err != nil {
		return 0, err
	}
	// Only up to 16 digits: implementations differ on spaces around the digits, and on more digits than an integer holds.
	digits, _, _ := strings.Cut(s, ";")
	n, err := strconv.ParseUint(digits, 16, 32)
	if err != nil || n > maxStream || len(digits) > 16 {
		return 0, syntaxError("malformed chunk size")
	}
	c.remaining = int64(n)
	if c.excess = max(0, c.excess+int64(len(s))-14-2*c.remaining); c.excess > maxExcess {
		return 0, tooLarge("overhead of chunks")
	}
	if n > 0 {
		return c.remaining, nil
	}
	budget = maxTrailer
	trailer, err := readFields(c.br, &budget, inTrailer)
	if err != nil {
		return 0, err
	}
	for _, name := range forbiddenTrailers {
		if trailer.Count(name) > 0 {
			return 0, syntaxError("%s as a trailer", name)
		}
	}
	return 0, nil
}

// forbiddenTrailers are the fields that may change the framing or routing of a message where a reader merges the trailer into the head.
var forbiddenTrailers = []string{"Content-Length", "Transfer-Encoding", "Trailer", "Host"}

// Read implements io.Reader.
func (c *Chunks) Read(p []byte) (n int, err error) {
	if c.err != nil || len(p) == 0 {
		return 0, c.err
	}
	if c.remaining == 0 {
		if _, c.err = c.nextChunk(); c.err == nil && c.remaining == 0 {
			c.err = io.EOF
			return 0, io.EOF
		}
	}
	if c.err == nil {
		n, c.err = c.br.Read(p[:min(int64(len(p)), c.remaining)])
		c.remaining -= int64(n)
	}
	c.err = unexpectedEOF(c.err)
	return n, c.err
}

// AppendRequest appends a complete request; extra are further fields. Neither fields nor extra may contain framing fields.
func AppendRequest(b []byte, method, target string, fields Fields, body []byte, extra ...Field) []byte {
	b = slices.Grow(b, len(method)+len(target)+fieldsSize(fields)+fieldsSize(extra)+len(body)+framingSize)
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\n"...)
	return appendRest(appendFields(b, fields), extra, body, len(body) > 0 || method == "POST")
}

// AppendResponse appends a complete response; closeAfter says that the connection is closed after it.
func AppendResponse(b []byte, status int, fields Fields, body []byte, closeAfter bool) []byte {
	b = slices.Grow(b, fieldsSize(fields)+len(body)+framingSize)
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrase(status)...)
	b = append(b, "\r\n"...)
	if closeAfter {
		b = append(b, "Connection: close\r\n"...)
	}
	// An interim response and a 204 have no body and must not have a Content-Length (RFC 9110, 8.6).
	return appendRest(b, fields, body, status >= 200 && status != 204)
}

// framingSize is an upper limit of a message's size without its method, target, fields and body.
const framingSize = 96

// fieldsSize returns the encoded size of fields.
func fieldsSize(fields []Field) (n int) {
	for i := range fields {
		n += len(fields[i].Name) + len(fields[i].Value) + len(": \r\n")
	}
	return n
}

func appendFields(b []byte, fields []Field) []byte {
	for _, f := range fields {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	return b
}

func appendRest(b []byte, fields []Field, body []byte, sized bool) []byte {
	b = appendFields(b, fields)
	if sized {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}

func reasonPhrase(status int) string {
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
	case 431:
		return "Request Header Fields Too Large"
	case 500:
		return "Internal Server Error"
	case 502:
		return "Bad Gateway"
	case 503:
		return "Service Unavailable"
	}
	return "Status"
}

// EndToEnd returns the fields that are to be forwarded: all except hop-by-hop fields and those named by except.
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
		if !f.listContains("Connection", x.Name) {
			out = append(out, x)
		}
	}
	return out
}

var hopByHop = []string{"Connection", "Keep-Alive", "Content-Length", "Transfer-Encoding", "TE",
	"Trailer", "Upgrade", "Expect", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization"}
