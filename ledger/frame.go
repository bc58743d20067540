package ledger

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// The format of a segment; all numbers are little-endian:
//
//	at 0 and at 512, so that no sector holds both copies: the header, 64 bytes
//	    8  magic
//	    4  version of the format; the header has the same layout in all versions
//	    4  zero
//	    8  the segment's number
//	    8  salt, a random number for each segment
//	    8  end of the valid data in the previous segment, which may hold more; 0: not known
//	    8  offset up to which the previous segment was synced when this one was created
//	   12  zero
//	    4  checksum of the bytes before
//	from 1024: frames
//	    4  magic
//	    4  kind (1 byte) and length of the record (3 bytes)
//	    8  job number
//	    4  offset up to which this segment was synced when the frame was written
//	    4  checksum of the record
//	    4  checksum of the frame's head
//	       record
//
// Both checksums of a frame (CRC-32C) also cover the salt, the segment number and the offset of the frame, so that only
// frames written at this place are valid. Remains of an earlier file on the disk, and client data made to look like a
// frame, are not.
const (
	formatVersion      = 1
	headerBytes        = 64
	secondHeaderOffset = 512
	firstFrameOffset   = 1024
	frameHeadBytes     = 28
	maxRecordBytes     = 1<<24 - 1
)

var (
	segmentMagic = []byte("ltledger")
	frameMagic   = []byte{0xc7, 0x1e, 0xd6, 0xe5}
	castagnoli   = crc32.MakeTable(crc32.Castagnoli)
)

// header is the content of a segment's header.
type header struct {
	number, salt        uint64
	prevEnd, prevSynced int64
}

// encode encodes both copies into b, which must be zero up to firstFrameOffset.
func (h *header) encode(b []byte) {
	copy(b, segmentMagic)
	binary.LittleEndian.PutUint32(b[8:], formatVersion)
	binary.LittleEndian.PutUint64(b[16:], h.number)
	binary.LittleEndian.PutUint64(b[24:], h.salt)
	binary.LittleEndian.PutUint64(b[32:], uint64(h.prevEnd))
	binary.LittleEndian.PutUint64(b[40:], uint64(h.prevSynced))
	binary.LittleEndian.PutUint32(b[60:], crc32.Checksum(b[:60], castagnoli))
	copy(b[secondHeaderOffset:], b[:headerBytes])
}

// versionError reports a segment in a version of the format that this program does not read.
type versionError struct {
	segment string
	version uint32
}

func (e *versionError) Error() string {
	return fmt.Sprintf("ledger: segment %s is of version %d, this program reads %d: run the newer program, or empty "+
		"the folder", e.segment, e.version, formatVersion)
}

// parseHeader decodes one copy. ok reports whether the copy is valid; its version may be another one.
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
	kindRecord     = 1 + iota
	kindSyncMarker // a sync marker, without a record: all data before it was synced when it was written
)

// frame is the decoded head of a frame.
type frame struct {
	kind      byte
	length    int
	seq       uint64
	synced    int64
	recordSum uint32 // checksum of the record
	baseSum   uint32 // initial value of the record's checksum
}

// baseSum returns the checksum of the data that both checksums of a frame cover: its first 20 bytes, and its place.
func (h *header) baseSum(b []byte, at int64) uint32 {
	var place [24]byte
	binary.LittleEndian.PutUint64(place[0:], h.salt)
	binary.LittleEndian.PutUint64(place[8:], h.number)
	binary.LittleEndian.PutUint64(place[16:], uint64(at))
	return crc32.Update(crc32.Checksum(place[:], castagnoli), castagnoli, b[:20])
}

// appendFrame appends to b a frame that is to be written at the offset at of the segment.
func (h *header) appendFrame(b []byte, at int64, kind byte, seq uint64, synced int64, record []byte) []byte {
	n := len(b)
	b = append(b, frameMagic...)
	b = binary.LittleEndian.AppendUint32(b, uint32(kind)|uint32(len(record))<<8)
	b = binary.LittleEndian.AppendUint64(b, seq)
	b = binary.LittleEndian.AppendUint32(b, uint32(synced))
	base := h.baseSum(b[n:], at)
	b = binary.LittleEndian.AppendUint32(b, crc32.Update(base, castagnoli, record))
	b = binary.LittleEndian.AppendUint32(b, crc32.Update(base, castagnoli, b[n+20:n+24]))
	return append(b, record...)
}

// parseFrame decodes the head of a frame at the offset at. ok reports whether the head is valid.
func (h *header) parseFrame(b []byte, at int64) (f frame, ok bool) {
	if len(b) < frameHeadBytes || string(b[:4]) != string(frameMagic) {
		return f, false
	}
	f.baseSum = h.baseSum(b, at)
	if crc32.Update(f.baseSum, castagnoli, b[20:24]) != binary.LittleEndian.Uint32(b[24:]) {
		return f, false
	}
	kindAndLength := binary.LittleEndian.Uint32(b[4:])
	f.kind, f.length = byte(kindAndLength), int(kindAndLength>>8)
	f.seq = binary.LittleEndian.Uint64(b[8:])
	f.synced = int64(binary.LittleEndian.Uint32(b[16:]))
	f.recordSum = binary.LittleEndian.Uint32(b[20:])
	return f, true
}

// matches reports whether record has the checksum in the head of its frame.
func (f *frame) matches(record []byte) bool {
	return crc32.Update(f.baseSum, castagnoli, record) == f.recordSum
}
