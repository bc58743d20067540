package scheduler

import (
	"net"
	"testing"
	"time"

	"laddertide/internal/testrig"
	wire "laddertide/wire/handover"
)

// TestAttemptsAgeInTransit guards against earlier attempts that are taken to be younger than they are, as the message of a hand-over lay
// unread for a while: the window of a key would seem to begin later.
func TestAttemptsAgeInTransit(t *testing.T) {
	const transit, age = 300 * time.Millisecond, time.Second
	accepted := make(chan net.Conn, 1)
	address := testrig.Listen(t, func(c net.Conn) {
		c.Read(make([]byte, 1)) // the request has arrived
		accepted <- c
		<-t.Context().Done()
	})
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.Write([]byte("P"))
	conn := <-accepted
	m := &wire.Job{Deadline: 5 * time.Second, TimeLeft: 5 * time.Second, PastAttempts: []wire.PastAttempt{{Provider: "s-1", Age: age}}}
	time.Sleep(transit)
	if got := time.Since(pastAttempts(m, conn)[0].Sent); got < age+transit*3/4 {
		t.Errorf("an attempt that was %v old %v ago is taken to be %v old", age, transit, got)
	}
}
