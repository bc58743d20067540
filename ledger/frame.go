package ledger

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// The form of a segment, all numbers little-endian:
//
//	at 0 and at 512, so that no sector holds both: the header, 64 bytes
//	    8  magic
//	    4  version of the form; the header's own shape is that of all versions
//	    4  zero
//	    8  the segment's number
//	    8  salt, drawn anew for each segment
//	    8  where the previous segment ends, whatever else is in it; 0: not known
//	    8  up to where the previous segment was synced by then
//	   12  zero
//	    4  checksum of all before
//	from 1024: frames
//	    4  magic
//	    4  kind (1 byte) and length of the record (3 bytes)
//	    8  job number
//	    4  up to where this segment was synced when the frame was written
//	    4  checksum of the record
//	    4  checksum of the frame's head
//	       record
//
// Both checksums of a frame (CRC-32C) also cover salt, segment number and the frame's place, so that nothing counts
// that was not written there: neither what an earlier file has left on the disk nor what a customer has made look like
// a frame.
const (
	formatVersion = 1
	headerBytes   = 64
	secondCopy    = 512
	firstFrame    = 1024
	frameHead     = 28
	longestRecord = 1<<24 - 1
)

var (
	segmentMagic = []byte("ltledger")
	frameMagic   = []byte{0xc7, 0x1e, 0xd6, 0xe5}
	castagnoli   = crc32.MakeTable(crc32.Castagnoli)
)

// header is the begin of a segment.
type header struct {
	number, salt        uint64
	prevEnd, prevSynced int64
}

// put writes both copies into b, which is zero up to firstFrame.
func (h *header) put(b []byte) {
	copy(b, segmentMagic)
	binary.LittleEndian.PutUint32(b[8:], formatVersion)
	binary.LittleEndian.PutUint64(b[16:], h.number)
	binary.LittleEndian.PutUint64(b[24:], h.salt)
	binary.LittleEndian.PutUint64(b[32:], uint64(h.prevEnd))
	binary.LittleEndian.PutUint64(b[40:], uint64(h.prevSynced))
	binary.LittleEndian.PutUint32(b[60:], crc32.Checksum(b[:60], castagnoli))
	copy(b[secondCopy:], b[:headerBytes])
}

// newerError says that a segment is of a version that this program does not read.
type newerError struct {
	segment string
	version uint32
}

func (e *newerError) Error() string {
	return fmt.Sprintf("ledger: segment %s is of version %d, this program reads %d: run the newer program, or empty "+
		"the folder", e.segment, e.version, formatVersion)
}

// parseHeader reads one copy. ok tells whether it is whole; a version other than ours is whole, too.
func parseHeader(b []byte) (h header, version uint32, ok bool) {
	if len(b) < headerBytes || string(b[:8]) != string(segmentMagic) ||
		crc32.Checksum(b[:60], castagnoli) != binary.LittleEndian.Uint32(b[60:]) {
		return h, 0, false
	}
	h.number = binary.LittleEndian.Uint64(b[16:])
	h.salt = binary.LittleEndian.Uint64(b[24:])
	h.prevEnd = int64(binary.LittleEndian.Uint64(b[32:]))
	h.prevSynced = int64(binary.LittleEndian.Uint64(b[40:]))
	return h, binary.LittleEndian.Uint32(b[8:]), true
}

// The kinds of frames.
const (
	kindRecord = 1 + iota
	kindNote   // all before it was synced when it was written; it has no record
)

// frame is the head of one.
type frame struct {
	kind   byte
	length int
	seq    uint64
	synced int64
	sum    uint32 // the record's
	base   uint32 // what the record's checksum goes on from
}

// base is the checksum of what both checksums of a frame cover: its first 20 bytes, and where it is.
func (h *header) base(b []byte, at int64) uint32 {
	var where [24]byte
	binary.LittleEndian.PutUint64(where[0:], h.salt)
	binary.LittleEndian.PutUint64(where[8:], h.number)
	binary.LittleEndian.PutUint64(where[16:], uint64(at))
	return crc32.Update(crc32.Checksum(where[:], castagnoli), castagnoli, b[:20])
}

// appendFrame appends to b a frame that is to be at that place of the segment.
func (h *header) appendFrame(b []byte, at int64, kind byte, seq uint64, synced int64, record []byte) []byte {
	n := len(b)
	b = append(b, frameMagic...)
	b = binary.LittleEndian.AppendUint32(b, uint32(kind)|uint32(len(record))<<8)
	b = binary.LittleEndian.AppendUint64(b, seq)
	b = binary.LittleEndian.AppendUint32(b, uint32(synced))
	base := h.base(b[n:], at)
	b = binary.LittleEndian.AppendUint32(b, crc32.Update(base, castagnoli, record))
	b = binary.LittleEndian.AppendUint32(b, crc32.Update(base, castagnoli, b[n+20:n+24]))
	return append(b, record...)
}

// parseFrame reads the head of a frame at that place. It is not whole where ok is false.
func (h *header) parseFrame(b []byte, at int64) (f frame, ok bool) {
	if len(b) < frameHead || string(b[:4]) != string(frameMagic) {
		return f, false
	}
	f.base = h.base(b, at)
	if crc32.Update(f.base, castagnoli, b[20:24]) != binary.LittleEndian.Uint32(b[24:]) {
		return f, false
	}
	word := binary.LittleEndian.Uint32(b[4:])
	f.kind, f.length = byte(word), int(word>>8)
	f.seq = binary.LittleEndian.Uint64(b[8:])
	f.synced = int64(binary.LittleEndian.Uint32(b[16:]))
	f.sum = binary.LittleEndian.Uint32(b[20:])
	return f, true
}

// holds tells whether the record is what its frame's head says.
func (f *frame) holds(record []byte) bool { return crc32.Update(f.base, castagnoli, record) == f.sum }
