package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// take reads one message and tells how many bytes its head has and how many are left.
func take(b []byte, response bool) (h *Head, body []byte, head, left int, err error) {
	r := bytes.NewReader(b)
	br := bufio.NewReaderSize(r, 1<<16)
	if h, err = read(br, response); err != nil {
		return
	}
	head = len(b) - br.Buffered() - r.Len()
	body, err = h.ReadBody(br)
	return h, body, head, br.Buffered() + r.Len(), err
}

// unframed are the fields that a writer is given.
func unframed(f Fields) (out Fields) {
	for _, x := range f {
		if !strings.EqualFold(x.Name, "Content-Length") && !strings.EqualFold(x.Name, "Transfer-Encoding") {
			out = append(out, x)
		}
	}
	return out
}

// checkWritten fails if what was read does not keep the limits, or reads otherwise once written again.
func checkWritten(t *testing.T, h *Head, body []byte, head, interim int, response bool) {
	if head > MaxHead*(interim+1) || len(body) > MaxBody || len(h.Fields) > maxFields {
		t.Fatalf("past the limits: head of %d with %d fields, body of %d", head, len(h.Fields), len(body))
	}
	f := unframed(h.Fields)
	again := AppendRequest(nil, h.Method, h.Target, f, body)
	if response {
		again = AppendResponse(nil, h.Status, f, body, h.Close)
	}
	if len(again)-len(body) > MaxHead || len(f)+2 > maxFields {
		return // a length or a CR more may be over the limit
	}
	h2, body2, _, left, err := take(again, response)
	if err != nil || left != 0 || !bytes.Equal(body2, body) {
		t.Fatalf("written as %q: body %q, left %d, err %v", again, body2, left, err)
	}
	f2 := unframed(h2.Fields)
	if response && h.Close {
		f2 = f2[1:]
	}
	if h2.Method != h.Method || h2.Target != h.Target || h2.Status != h.Status || !slices.Equal(f2, f) ||
		response && h2.Close != h.Close {
		t.Fatalf("written as %q: %+v, want %+v", again, h2, h)
	}
}

func FuzzRequest(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		if h, body, head, _, err := take(b, false); err == nil {
			checkWritten(t, h, body, head, 0, false)
		}
	})
}

// FuzzResponse holds responses against net/http too. There is no difference.
func FuzzResponse(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		h, body, head, left, err := take(b, true)
		if err != nil {
			return
		}
		r := bytes.NewReader(b)
		br := bufio.NewReaderSize(r, 1<<16)
		for interim := 0; ; interim++ {
			res, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatalf("taken, but not by net/http: %v", err)
			}
			if res.StatusCode < 200 {
				continue
			}
			checkWritten(t, h, body, head, interim, true)
			want := fieldsMap(h, res.Header)
			if res.Close {
				delete(want, "Connection") // net/http may take it out
				delete(res.Header, "Connection")
			}
			other, err := io.ReadAll(res.Body)
			if err != nil || res.StatusCode != h.Status || res.Close != h.Close || !bytes.Equal(other, body) ||
				br.Buffered()+r.Len() != left || !reflect.DeepEqual(res.Header, want) {
				t.Fatalf("read as %+v, %q, left %d; by net/http as %+v, %q, left %d, err %v",
					h, body, left, res, other, br.Buffered()+r.Len(), err)
			}
			return
		}
	})
}

// fieldsMap holds a head's fields as net/http does, which takes some out and adds to an old Pragma.
func fieldsMap(h *Head, other http.Header) http.Header {
	m := http.Header{}
	for _, x := range h.Fields {
		m.Add(x.Name, x.Value)
	}
	m.Del("Transfer-Encoding")
	if h.chunked {
		m.Del("Trailer")
	}
	if m.Get("Pragma") == "no-cache" {
		m.Del("Cache-Control")
		other.Del("Cache-Control")
	}
	return m
}

// FuzzDifferential: what is taken here, net/http takes and reads the same, to the last byte. The harmless differences:
//   - An empty line before a request is passed over (RFC 9112, 2.2), as net/http's server does after a POST.
//   - A target's path may hold a % that escapes nothing: no target is decoded here, it goes on as it came.
//
// A request without Host is taken by both readers, though net/http's server answers it with 400: nothing here
// depends on a host.
func FuzzDifferential(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		h, body, _, left, err := take(b, false)
		if err != nil {
			return
		}
		if rest, ok := bytes.CutPrefix(b, []byte("\n")); ok {
			b = rest
		} else {
			b = bytes.TrimPrefix(b, []byte("\r\n"))
		}
		r := bytes.NewReader(b)
		br := bufio.NewReaderSize(r, 1<<16) // net/http looks for a trailer's end in its buffer
		req, err := http.ReadRequest(br)
		var escape url.EscapeError
		if errors.As(err, &escape) {
			return
		}
		if err != nil {
			t.Fatalf("taken as %+v, but not by net/http: %v", h, err)
		}
		want := fieldsMap(h, req.Header)
		want.Del("Host")
		other, err := io.ReadAll(req.Body)
		if err != nil || req.Method != h.Method || req.RequestURI != h.Target || req.Close != h.Close ||
			req.Host != h.Fields.Get("Host") || !bytes.Equal(other, body) ||
			br.Buffered()+r.Len() != left || !reflect.DeepEqual(req.Header, want) {
			t.Fatalf("read as %+v, %q, left %d; by net/http as %+v, %q, left %d, err %v",
				h, body, left, req, other, br.Buffered()+r.Len(), err)
		}
	})
}

// sips returns a few bytes at a time.
type sips struct {
	r   io.Reader
	rng *rand.Rand
}

func (s *sips) Read(p []byte) (int, error) { return s.r.Read(p[:min(len(p), 1+s.rng.IntN(5))]) }

// FuzzChunks: a stream reads the same however the network cuts it, ends in the same way, and as a body does.
func FuzzChunks(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte, seed uint64) {
		h := &Head{chunked: true}
		stream := func(r io.Reader, buffer, most int, rng *rand.Rand) (out []byte, end error) {
			c, err := h.Stream(bufio.NewReaderSize(r, buffer))
			if err != nil {
				t.Fatal(err)
			}
			for buf := make([]byte, most); ; {
				p := buf[:1+rng.IntN(most)]
				n, err := c.Read(p)
				out = append(out, p[:n]...)
				if err != nil {
					if n, again := c.Read(p); n != 0 || again != err {
						t.Fatalf("after its end: %d bytes, %v; first %v", n, again, err)
					}
					return out, err
				}
			}
		}
		rng := rand.New(rand.NewPCG(seed, 1))
		whole, end := stream(bytes.NewReader(b), 1<<16, 1<<16, rng)
		cut, cutEnd := stream(&sips{bytes.NewReader(b), rng}, 16, 9, rng)
		if !bytes.Equal(whole, cut) || end.Error() != cutEnd.Error() {
			t.Fatalf("whole %q, %v; cut %q, %v", whole, end, cut, cutEnd)
		}
		body, err := h.ReadBody(bufio.NewReader(bytes.NewReader(b)))
		if ends := end == io.EOF && len(whole) <= MaxBody; ends != (err == nil) || ends && !bytes.Equal(body, whole) {
			t.Fatalf("stream %q, %v; body %q, %v", whole, end, body, err)
		}
	})
}
