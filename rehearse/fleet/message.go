package fleet

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHeadBytes = 16 << 10
	maxBodyBytes = 64 << 10
)

// message is a request that a worker has read.
type message struct {
	method, target string
	id, key        string
	class, tenant  string
	hint           time.Duration // the client's cost hint; 0: none
	timeLimit      time.Duration // how long the scheduler will wait; 0: not stated
	lease          uint64        // number of the scheduler's lease for the job; 0: none
	body           []byte
	closeAfter     bool // the connection is closed after the response

	firstByteAt, lastByteAt time.Duration // when its first byte and its last were read
}

// errInvalidMessage reports that a message is invalid or ambiguous.
var errInvalidMessage = errors.New("invalid message")

type parser struct {
	head []byte
	src  bytes.Reader
	br   *bufio.Reader
}

var parsers = sync.Pool{New: func() any { return &parser{br: bufio.NewReaderSize(nil, maxHeadBytes)} }}

// readMessage reads a whole request. proceed is called if its sender expects 100 Continue before it sends the body.
func readMessage(br *bufio.Reader, proceed func() error) (*message, error) {
	p := parsers.Get().(*parser)
	defer parsers.Put(p)
	lengths, err := p.readHead(br)
	if err != nil {
		return nil, err
	}
	p.src.Reset(p.head)
	p.br.Reset(&p.src)
	req, err := http.ReadRequest(p.br)
	if err != nil || req.ProtoMajor != 1 || lengths > 1 {
		return nil, errInvalidMessage
	}
	m := &message{method: req.Method, target: req.RequestURI, closeAfter: req.Close}
	if m.id, err = singleField(req.Header, "X-Request-Id"); err != nil {
		return nil, err
	}
	if m.key, err = singleField(req.Header, "Idempotency-Key"); err != nil {
		return nil, err
	}
	limit, err := singleField(req.Header, "X-Deadline-Ms")
	if err != nil {
		return nil, err
	}
	if limit != "" {
		ms, err := strconv.ParseInt(limit, 10, 64)
		if err != nil || ms < 0 || ms > 1<<40 {
			return nil, errInvalidMessage
		}
		m.timeLimit = max(time.Microsecond, time.Duration(ms)*time.Millisecond)
	}
	lease, err := singleField(req.Header, "X-Lease")
	if err != nil {
		return nil, err
	}
	if lease != "" {
		if m.lease, err = strconv.ParseUint(lease, 10, 64); err != nil || m.lease == 0 {
			return nil, errInvalidMessage
		}
	}
	m.class, m.tenant = req.Header.Get("X-Class"), req.Header.Get("X-Tenant")
	if us, err := strconv.ParseFloat(req.Header.Get("X-Cost-Hint"), 64); err == nil && us > 0 && us < 1e12 {
		m.hint = time.Duration(us * float64(time.Microsecond))
	}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		if err := proceed(); err != nil {
			return nil, err
		}
	}
	switch {
	case len(req.TransferEncoding) > 0: // net/http knows chunked only
		m.body, err = readChunks(br)
	case req.ContentLength > maxBodyBytes:
		err = errInvalidMessage
	case req.ContentLength > 0:
		m.body = make([]byte, req.ContentLength)
		_, err = io.ReadFull(br, m.body)
	}
	return m, err
}

// singleField returns the value of a header field that must not be repeated, or "" if it is missing.
func singleField(h http.Header, name string) (string, error) {
	switch values := h[name]; len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	}
	return "", errInvalidMessage
}

// readHead reads the head up to its empty line, and counts the fields that determine where the body ends: net/http
// accepts a Content-Length beside a Transfer-Encoding, which allows request smuggling: a reader that goes by the other
// field sees a second message.
func (p *parser) readHead(br *bufio.Reader) (lengths int, err error) {
	p.head = p.head[:0]
	for begin := 0; ; {
		part, err := br.ReadSlice('\n')
		p.head = append(p.head, part...)
		switch {
		case len(p.head) > maxHeadBytes:
			return 0, errInvalidMessage
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return 0, err
		}
		line := bytes.TrimRight(p.head[begin:], "\r\n")
		if len(line) == 0 {
			return lengths, nil
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		if begin > 0 && (bytes.EqualFold(name, []byte("Content-Length")) ||
			bytes.EqualFold(name, []byte("Transfer-Encoding"))) {
			lengths++
		}
		begin = len(p.head)
	}
}

// readChunks reads a chunked body and its trailer.
func readChunks(br *bufio.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(br), maxBodyBytes+1))
	var broke net.Error
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &broke):
		return nil, err
	case err != nil || len(body) > maxBodyBytes:
		return nil, errInvalidMessage
	}
	var trailer parser
	if _, err := trailer.readHead(br); err != nil {
		return nil, err
	}
	return body, nil
}
