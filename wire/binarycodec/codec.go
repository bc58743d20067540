// Package binarycodec writes values to bytes, or reads them back, by one definition for both, so that they cannot disagree. It
// owns how single values look; what they mean, and in which order they come, is the definition's. What is read may be anything: it is
// an error at worst, and costs no more memory than its bytes are worth.
package binarycodec

import (
	"encoding/binary"
	"errors"
	"math"
)

// Codec goes over values: it appends them to Bytes, or, Reading, takes them from there.
type Codec struct {
	Bytes   []byte
	Reading bool
	Err     error // the first thing found wrong; nothing is read after it
}

// Fail notes what is wrong.
func (w *Codec) Fail(why string) {
	if w.Err == nil {
		w.Err = errors.New(why)
	}
	w.Bytes = nil
}

// Integers goes over whole numbers.
func Integers[T ~int | ~int32 | ~int64 | ~uint8 | ~uint64](w *Codec, values ...*T) {
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

// Float goes over numbers.
func (w *Codec) Float(values ...*float64) {
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

// Flag goes over truths.
func (w *Codec) Flag(values ...*bool) {
	for _, v := range values {
		n := 0
		if *v {
			n = 1
		}
		Integers(w, &n)
		*v = n != 0
	}
}

// List goes over a slice. What each is given is valid during its call only.
func List[T any](w *Codec, s *[]T, each func(*T)) {
	n := len(*s)
	Integers(w, &n)
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

// Data goes over bytes. Those read share no memory with Bytes.
func (w *Codec) Data(v *[]byte) {
	n := len(*v)
	Integers(w, &n)
	switch {
	case !w.Reading:
		w.Bytes = append(w.Bytes, *v...)
	case n < 0 || n > len(w.Bytes):
		w.Fail("ends early")
	default:
		*v, w.Bytes = append([]byte(nil), w.Bytes[:n]...), w.Bytes[n:]
	}
}

// Text goes over texts.
func (w *Codec) Text(values ...*string) {
	for _, v := range values {
		b := []byte(*v)
		if w.Data(&b); w.Reading {
			*v = string(b)
		}
	}
}
