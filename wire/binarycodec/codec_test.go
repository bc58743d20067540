package binarycodec

import "testing"

// TestNothingIsEncodedAfterAnError guards against the end of a message that is sent without its beginning: after a value that cannot be
// encoded, nothing is.
func TestNothingIsEncodedAfterAnError(t *testing.T) {
	w := Codec{}
	number, share, flag, text, data, list := 1, 0.5, true, "x", []byte("y"), []int{2}
	Integers(&w, &number)
	w.Fail("cannot be encoded")
	Integers(&w, &number)
	w.Float(&share)
	w.Flag(&flag)
	w.Text(&text)
	w.Data(&data)
	List(&w, &list, func(n *int) { Integers(&w, n) })
	if b, err := w.Encoded(); err == nil || len(b) > 0 || len(w.Bytes) > 0 {
		t.Errorf("%q, %q, %v", b, w.Bytes, err)
	}
}
