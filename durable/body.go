package durable

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"

	"laddertide/job"
)

// encodeBody returns the part of a job that is opaque to the ledger: all that is sent to a provider and is not in the
// other fields of [leases.Spec].
func encodeBody(j *job.Job) []byte {
	n := len(j.Subject) + len(j.Protocol) + len(j.Payload) + 16
	for _, f := range j.Fields {
		n += len(f.Name) + len(f.Value) + 4
	}
	b := make([]byte, 0, n)
	b = append(b, bodyVersion)
	b = appendText(b, j.Subject)
	b = appendText(b, j.Protocol)
	b = binary.AppendUvarint(b, uint64(len(j.Fields)))
	for _, f := range j.Fields {
		b = appendText(b, f.Name)
		b = appendText(b, f.Value)
	}
	return appendText(b, string(j.Payload))
}

const (
	bodyVersion = 1
	maxFields   = 1024
)

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

var errBody = errors.New("durable: the body of a job makes no sense")

// decodeBody is the inverse of encodeBody.
func decodeBody(b []byte, j *job.Job) error {
	if len(b) == 0 || b[0] != bodyVersion {
		return errBody
	}
	b = b[1:]
	bad := false
	number := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			bad = true
			return 0
		}
		b = b[n:]
		return v
	}
	text := func() string {
		n := number()
		if n > uint64(len(b)) {
			bad = true
			return ""
		}
		s := string(b[:n])
		b = b[n:]
		return s
	}
	j.Subject, j.Protocol = text(), text()
	count := number()
	if bad || count > maxFields {
		return errBody
	}
	j.Fields = nil
	for range count {
		j.Fields = append(j.Fields, job.Field{Name: text(), Value: text()})
	}
	j.Payload = nil
	if p := text(); p != "" {
		j.Payload = []byte(p)
	}
	if bad || len(b) > 0 {
		return errBody
	}
	return nil
}

// digest returns a hash of all that must be equal for two requests of one id to be the same job.
func digest(j *job.Job) (d [32]byte) {
	h := sha256.New()
	for _, s := range []string{j.ClassName, j.TenantName, j.Key, j.Subject, string(j.Payload)} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	h.Sum(d[:0])
	return d
}
