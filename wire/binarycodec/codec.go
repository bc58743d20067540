// Package binarycodec encodes and decodes values by a single definition for both directions, so that they cannot disagree. It
// defines the encoding of single values; their meaning and order are up to the caller. The input is not trusted: at worst it causes
// an error, and the memory that decoding takes is bounded by the size of the input.
package binarycodec

import (
	"encoding/binary"
	"errors"
	"math"
)

// Codec appends values to Bytes or, if Reading is set, decodes them from the start of Bytes.
type Codec struct {
	Bytes   []byte
	Reading bool
	Err     error // the first error; nothing is encoded or decoded after it
}

// Fail records an error, unless there is one already, and ends encoding or decoding: nothing is left of the bytes.
func (w *Codec) Fail(why string) {
	if w.Err == nil {
		w.Err = errors.New(why)
	}
	w.Bytes = nil
}

// Encoded returns what has been encoded, or the first error.
func (w *Codec) Encoded() ([]byte, error) {
	if w.Err != nil {
		return nil, w.Err
	}
	return w.Bytes, nil
}

// write appends encoded values. After an error it appends nothing, as what follows must not look like a whole message.
func (w *Codec) write(b ...byte) {
	if w.Err == nil {
		w.Bytes = append(w.Bytes, b...)
	}
}

// Integers encodes or decodes integers, as signed varints.
func Integers[T ~int | ~int32 | ~int64 | ~uint8 | ~uint64](w *Codec, values ...*T) {
	for _, v := range values {
		if !w.Reading {
			var encoded [binary.MaxVarintLen64]byte
			w.write(encoded[:binary.PutVarint(encoded[:], int64(*v))]...)
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

// Float encodes or decodes floating-point numbers, in eight bytes each.
func (w *Codec) Float(values ...*float64) {
	for _, v := range values {
		if !w.Reading {
			var encoded [8]byte
			binary.LittleEndian.PutUint64(encoded[:], math.Float64bits(*v))
			w.write(encoded[:]...)
			continue
		}
		if len(w.Bytes) < 8 {
			w.Fail("ends early")
			return
		}
		*v, w.Bytes = math.Float64frombits(binary.LittleEndian.Uint64(w.Bytes)), w.Bytes[8:]
	}
}

// Flag encodes or decodes booleans, as the integers 0 and 1.
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

// List encodes or decodes a slice: its length, then each element by a call of each, whose argument is valid during the call only.
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
	if n < 0 || n > len(w.Bytes) { // each element takes at least one byte
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

// Data encodes or decodes byte slices, with their length. Decoded ones share no memory with Bytes.
func (w *Codec) Data(v *[]byte) {
	n := len(*v)
	Integers(w, &n)
	switch {
	case !w.Reading:
		w.write(*v...)
	case n < 0 || n > len(w.Bytes):
		w.Fail("ends early")
	default:
		*v, w.Bytes = append([]byte(nil), w.Bytes[:n]...), w.Bytes[n:]
	}
}

// Text encodes or decodes strings, with their length.
func (w *Codec) Text(values ...*string) {
	for _, v := range values {
		b := []byte(*v)
		if w.Data(&b); w.Reading {
			*v = string(b)
		}
	}
}
