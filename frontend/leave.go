package frontend

import (
	"bufio"
	"context"
	"errors"

	"laddertide/internal/netfault"
	"laddertide/job"
)

// A client that closes its connection has left, and nothing more may be sent to a worker for it. The end of the stream follows all
// bytes sent before it, so these are read first: into the buffer, then into conn.readAhead, and beyond MaxReadAhead they are dropped.

// readMore makes one read beyond what has been read already. Bytes beyond MaxReadAhead are dropped, and the connection closes with the
// current answer: no client needs to send that much before it has its answer.
func (c *conn) readMore() error {
	_, err := c.br.Peek(c.br.Buffered() + 1)
	if !errors.Is(err, bufio.ErrBufferFull) {
		return err
	}
	var b [2048]byte
	n, err := c.readSocket(b[:])
	if len(c.readAhead)+n <= MaxReadAhead && !c.broken {
		c.readAhead = append(c.readAhead, b[:n]...)
	} else {
		c.broken = true
		c.droppedBytes += n
	}
	return err
}

// hasLeft reports, without waiting, whether the client has closed c by now, as far as what it sent can be kept. Bytes that it sent
// meanwhile are kept for the next message.
func (c *conn) hasLeft() bool {
	for !c.broken && c.readable() {
		if err := c.readMore(); err != nil {
			return !netfault.DeadlinePassed(err)
		}
	}
	return false
}

// withLeaveCheck returns ctx with a check of whether the client has closed c, to be made before something is sent to a worker: the
// goroutine of watchLeave may not have run since the client left. cancel ends ctx.
func (c *conn) withLeaveCheck(ctx context.Context, cancel context.CancelCauseFunc) context.Context {
	return job.WithLeaveCheck(ctx, func() bool {
		left := netfault.PeerClosed(c.Conn)
		if left {
			cancel(job.ErrClientLeft)
		}
		return left
	})
}

// watchLeave calls onLeave if the client closes c while its request is in progress. A blocked read is the only way to notice that, so a
// request has this second goroutine while it waits. The returned function ends the watch and must be called before c is read again.
func watchLeave(c *conn, onLeave func()) (stop func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Neither bytes of a next message nor the deadline that ends the watch mean that the client has left. After lingerBytes
		// dropped bytes nothing more is read.
		var err error
		for err == nil && c.droppedBytes < lingerBytes {
			err = c.readMore()
		}
		if err != nil && !netfault.DeadlinePassed(err) {
			onLeave()
		}
	}()
	return func() {
		c.SetReadDeadline(aLongTimeAgo)
		<-done
	}
}
