package consumer

import (
	"bufio"
	"errors"
	"time"
)

// readAhead reads on behind a full buffer, as a leave is seen only behind all that came before it. More than may be kept
// is dropped, and the connection ends with the answer in hand: no client has to send so much before that. Without an error
// even that was too much, and nothing more is looked at.
func (c *conn) readAhead() error {
	var b [2048]byte
	for dropped := 0; dropped < partBytes; {
		n, err := c.Conn.Read(b[:])
		if n > 0 {
			c.hears()
		}
		if len(c.ahead)+n <= MaxAhead && !c.broken {
			c.ahead = append(c.ahead, b[:n]...)
		} else {
			c.broken = true
			dropped += n
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// watch runs gone if the consumer closes c while its request is out. A blocked read is the only way to
// see that, so a request has this second goroutine while it waits. The function that it returns ends
// the watch and must be called before c is read again.
func watch(c *conn, gone func()) (stop func()) {
	done := make(chan struct{})
	c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		// Bytes of a next message are no leave, nor is the deadline that ends the watch.
		var err error
		for err == nil {
			_, err = c.br.Peek(c.br.Buffered() + 1)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			err = c.readAhead()
		}
		if err != nil && !isTimeout(err) {
			gone()
		}
	}()
	return func() {
		c.SetReadDeadline(time.Unix(1, 0))
		<-done
	}
}
