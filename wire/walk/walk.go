// Package walk writes values to bytes, or reads them back, by one walk for both, so that they cannot disagree. It owns
// how single values look; what they mean, and in which order they come, is the walk's. What is read may be anything: it is
// an error at worst, and costs no more memory than its bytes are worth.
package walk

import (
	"encoding/binary"
	"errors"
	"math"
)

// Walker is a walk over values: it appends them to Bytes, or, Reading, takes them from there.
type Walker struct {
	Bytes   []byte
	Reading bool
	Err     error // the first thing found wrong; nothing is read after it
}

// Fail notes what is wrong.
func (w *Walker) Fail(why string) {
	if w.Err == nil {
		w.Err = errors.New(why)
	}
	w.Bytes = nil
}

// Whole walks over whole numbers.
func Whole[T ~int | ~int32 | ~int64 | ~uint8 | ~uint64](w *Walker, values ...*T) {
	for _, v := range values {
		if !w.Reading {
			w.Bytes = binary.AppendVarint(w.Bytes, int64(*v))
			continue
		}
		x, n := binary.Varint(w.Bytes)
		if n <= 0 {
			w.Fail("ends early")
			return
		}
		*v, w.Bytes = T(x), w.Bytes[n:]
		if int64(*v) != x {
			w.Fail("has a number out of range")
		}
	}
}

// Float walks over numbers.
func (w *Walker) Float(values ...*float64) {
	for _, v := range values {
		if !w.Reading {
			w.Bytes = binary.LittleEndian.AppendUint64(w.Bytes, math.Float64bits(*v))
			continue
		}
		if len(w.Bytes) < 8 {
			w.Fail("ends early")
			return
		}
		*v, w.Bytes = math.Float64frombits(binary.LittleEndian.Uint64(w.Bytes)), w.Bytes[8:]
	}
}

// Flag walks over truths.
func (w *Walker) Flag(values ...*bool) {
	for _, v := range values {
		n := 0
		if *v {
			n = 1
		}
		Whole(w, &n)
		*v = n != 0
	}
}

// List walks over a slice. What each is given is valid during its call only.
func List[T any](w *Walker, s *[]T, each func(*T)) {
	n := len(*s)
	Whole(w, &n)
	if !w.Reading {
		for i := range *s {
			each(&(*s)[i])
		}
		return
	}
	*s = (*s)[:0]
	if n < 0 || n > len(w.Bytes) { // each element takes a byte at least
		w.Fail("has a list out of range")
		return
	}
	for range n {
		var v T
		if each(&v); w.Err != nil {
			return
		}
		*s = append(*s, v)
	}
}

// Data walks over bytes. Those read share no memory with Bytes.
func (w *Walker) Data(v *[]byte) {
	n := len(*v)
	Whole(w, &n)
	switch {
	case !w.Reading:
		w.Bytes = append(w.Bytes, *v...)
	case n < 0 || n > len(w.Bytes):
		w.Fail("ends early")
	default:
		*v, w.Bytes = append([]byte(nil), w.Bytes[:n]...), w.Bytes[n:]
	}
}

// Text walks over texts.
func (w *Walker) Text(values ...*string) {
	for _, v := range values {
		b := []byte(*v)
		if w.Data(&b); w.Reading {
			*v = string(b)
		}
	}
}
