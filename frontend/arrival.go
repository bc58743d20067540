package frontend

import "time"

// maxArrivals bounds the reads that an arrivalLog tells apart; later ones count as one.
const maxArrivals = 32

// arrivalLog tells when bytes of a connection arrived at its socket, by their place in the stream. Requests that a
// client sends at once wait behind each other, and their time runs meanwhile.
type arrivalLog struct {
	total int64     // bytes read so far
	reads []arrival // of those, in order, what has not been taken out of the buffer for long
}

// arrival is of one read: all bytes up to end were there by then.
type arrival struct {
	end int64
	at  time.Time
}

// add notes a read of n bytes, the last of which arrived at a time.
func (l *arrivalLog) add(n int, at time.Time) {
	l.total += int64(n)
	if len(l.reads) < maxArrivals {
		l.reads = append(l.reads, arrival{})
	}
	l.reads[len(l.reads)-1] = arrival{l.total, at}
}

// taken returns when the last byte arrived that has been taken out of the buffer, of which left bytes are still there;
// now, if that is not known. It forgets what came before.
func (l *arrivalLog) taken(left int, now time.Time) time.Time {
	end := l.total - int64(left)
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
