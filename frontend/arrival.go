package frontend

import "time"

// maxReads is the maximum number of reads that an arrivalLog tells apart; later ones are merged into one.
const maxReads = 32

// arrivalLog records when bytes of a connection arrived at its socket, by their position in the stream. The time of a pipelined
// request runs from its arrival, while it waits behind earlier requests of its connection.
type arrivalLog struct {
	total int64     // bytes read so far
	reads []arrival // the reads in order, without those that were consumed before the last call of consumedAt
}

// arrival describes one read: all bytes up to position end had arrived by the time at.
type arrival struct {
	end int64
	at  time.Time
}

// add records a read of n bytes, the last of which arrived at the given time.
func (l *arrivalLog) add(n int, at time.Time) {
	l.total += int64(n)
	if len(l.reads) < maxReads {
		l.reads = append(l.reads, arrival{})
	}
	l.reads[len(l.reads)-1] = arrival{l.total, at}
}

// consumedAt returns when the last consumed byte arrived, where buffered bytes are still in the buffer, or now if that is not known. It
// discards the records of earlier bytes.
func (l *arrivalLog) consumedAt(buffered int, now time.Time) time.Time {
	end := l.total - int64(buffered)
	i := 0
	for i < len(l.reads) && l.reads[i].end < end {
		i++
	}
	l.reads = append(l.reads[:0], l.reads[i:]...)
	if len(l.reads) == 0 {
		return now
	}
	return l.reads[0].at
}
