package standin

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

// Sabotages are the ways in which a stand-in can be bad, each with what it does.
var Sabotages = map[string]string{
	"drop-answers":     "closes the connection of every 20th request instead of answering",
	"drop-at-once":     "closes the connection of every 10th request as soon as it has read it",
	"reset-at-once":    "resets the connection of every 10th request as soon as it has read it",
	"late-answers":     "answers every 5th limit-check after its deadline",
	"made-up":          "answers every 10th request 200 with a result of its own",
	"swapped":          "answers every 10th request 200 with the result of another",
	"empty-result":     "answers every 10th request 200 with nothing",
	"never-answers":    "never answers every 10th limit-check",
	"exits":            "ends with code 0 after four seconds",
	"panics":           "panics after four seconds",
	"hup-exit":         "ends on SIGHUP",
	"hup-ignored":      "does not heed SIGHUP",
	"term-exit":        "ends at once on SIGTERM",
	"deaf":             "does not heed SIGTERM",
	"two-answers":      "answers every 10th request twice",
	"half-body":        "closes within the body of every 10th answer",
	"garbage":          "answers every 10th request with what is no HTTP",
	"answer-early":     "answers 200 before the worker has done it",
	"serve-strangers":  "answers 200 to what it cannot read",
	"sent-after":       "sends every 10th job once more when it is answered",
	"impatient":        "sends every 5th job again 200 ms after its 202, without withdrawing it",
	"resend-issue":     "sends again what may have run, whatever its class",
	"withdraw-resend":  "withdraws every 5th job half a second after its 202, and sends it again",
	"hedge":            "sends every 5th limit-check to a second worker after 50 ms",
	"hedge-all":        "sends every 5th job to a second worker at once",
	"refuse-after-run": "refuses what may have run",
	"many-attempts":    "sends a job up to 50 times",
	"resend-done":      "sends every 5th job again when it is done",
	"ignore-returned":  "takes a job that was handed back for one that may have run",
	"ignore-draining":  "does not heed DRAINING",
	"ignore-deleted":   "does not heed DELETED",
	"ignore-hand":      "says yes to operators, and does nothing",
	"deaf-to-hand":     "does what operators say, and does not answer them",
	"late-news":        "heeds discovery's news four seconds late",
	"watch-once":       "does not watch discovery again when a watch has ended",
	"no-watch":         "never asks discovery",
	"flood-cold":       "sends everything to the worker that started last",
	"hold-while-down":  "keeps jobs while a worker is down and sends all of them to the first one back",
	"altered-body":     "changes the body of every 10th job",
	"dropped-query":    "changes the path of every 10th job",
	"other-key":        "sends every settle with another key",
	"own-id":           "sends every 10th job under an id of its own making",
	"forget-ledger":    "starts with an empty ledger each time",
	"resend-recovered": "sends again at once what a process before it may have out, whatever its class",
	"call-over":        "says of all others that they have left",
	"undercount":       "says that one less may be sending than is",
	"cut-for-ever":     "says that it is cut off from some, always",
	"take-all":         "takes for itself what all may send to a cold worker",
	"forget-bans":      "says of no worker that it is out",
	"old-number":       "has the number of the process before it, always",
	"keep-strangers":   "closes on nobody at its address for peers",
	"recant":           "answers 500 to who asks again for what was answered",
	"never-ready":      "does not listen",
	"exits-at-once":    "ends with a message before it listens",
	"unhealthy":        "listens, but answers /_health with 503",
	"noisy":            "writes a megabyte a second to its log",
	"hoards-memory":    "takes memory until it is killed",
	"hoards-sockets":   "opens descriptors until there are no more",
}

// sabotageStart is what goes wrong with the program itself.
func (s *scheduler) sabotageStart() {
	switch {
	case s.bad["never-ready"]:
		select {}
	case s.bad["exits-at-once"]:
		fmt.Fprintln(os.Stderr, "stand-in: the licence has run out")
		os.Exit(3)
	case s.bad["exits"]:
		time.AfterFunc(4*time.Second, func() { os.Exit(0) })
	case s.bad["panics"]:
		time.AfterFunc(4*time.Second, func() { panic("the sky is falling") })
	case s.bad["noisy"]:
		go func() {
			for line := strings.Repeat("all is well ", 100); ; time.Sleep(time.Millisecond) {
				fmt.Fprintln(os.Stderr, line)
			}
		}()
	case s.bad["hoards-memory"]:
		go func() {
			for time.Sleep(2 * time.Second); ; time.Sleep(50 * time.Millisecond) {
				b := make([]byte, 16<<20)
				for i := 0; i < len(b); i += 4096 {
					b[i] = 1 // each page, or none of it is held; more would take a busy machine too long
				}
				s.hoard = append(s.hoard, b)
			}
		}()
	case s.bad["hoards-sockets"]:
		go func() {
			for time.Sleep(2 * time.Second); ; {
				f, err := os.Open("/dev/null")
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				s.hoard = append(s.hoard, f)
			}
		}()
	}
}

// sabotageAtOnce is what goes wrong as soon as a request was read; true: its connection ends.
func (s *scheduler) sabotageAtOnce(c net.Conn, j *job) bool {
	if j.every("reset-at-once", 10) {
		c.(*net.TCPConn).SetLinger(0)
		return true
	}
	return j.every("drop-at-once", 10)
}

// every says whether a job is one of every n that suffer.
func (j *job) every(name string, n int) bool { return j.s.bad[name] && j.n%n == n-1 }

// sabotageAnswer answers in a bad way, if there is one; done says so.
func (s *scheduler) sabotageAnswer(c net.Conn, j *job, status int, body string) (ok, done bool) {
	check := j.class.name == "limit-check"
	s.mu.Lock()
	other := s.last
	s.mu.Unlock()
	switch {
	case j.every("drop-answers", 20):
		return false, true
	case check && j.every("late-answers", 5):
		time.Sleep(time.Until(j.due) + 200*time.Millisecond)
	case j.every("made-up", 10):
		return write(c, answerOf(200, "approved", false)), true
	case j.every("swapped", 10) && status == 200 && other != "":
		return write(c, answerOf(200, other, false)), true
	case j.every("empty-result", 10):
		return write(c, answerOf(200, "", false)), true
	case check && j.every("never-answers", 10):
		time.Sleep(time.Until(j.due) + 3*time.Second)
		return false, true
	case j.every("two-answers", 10):
		return write(c, answerOf(status, body, false)+answerOf(status, body, false)), true
	case j.every("half-body", 10):
		text := answerOf(status, body+"....", false)
		write(c, text[:len(text)-4])
		return false, true
	case j.every("garbage", 10):
		write(c, "\x00\x01\x02 what?\r\n\r\n")
		return false, true
	}
	return false, false
}

// sabotageEnded is what goes wrong with a job that is about to be answered.
func (s *scheduler) sabotageEnded(j *job) {
	if !j.every("sent-after", 10) {
		return
	}
	text := j.text()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		if w.serving {
			address := w.address
			time.AfterFunc(300*time.Millisecond, func() { blurt(address, text) })
			return
		}
	}
}

// sabotageSent is what goes wrong once a job was sent.
func (s *scheduler) sabotageSent(j *job, w *worker) {
	second := j.every("hedge", 5) && j.class.name == "limit-check"
	if !second && !j.every("hedge-all", 5) {
		return
	}
	text := j.text()
	s.mu.Lock()
	address := ""
	for _, other := range s.workers {
		if other != w && other.serving {
			address = other.address
			break
		}
	}
	s.mu.Unlock()
	go func() {
		if second {
			select {
			case <-time.After(50 * time.Millisecond):
			case <-j.ctx.Done(): // it is over: a second attempt now would be something else
				return
			}
		}
		blurt(address, text)
	}()
}

// blurt sends something to a worker and does not care.
func blurt(address string, text []byte) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	c.SetDeadline(time.Now().Add(3 * time.Second))
	c.Write(text)
	c.Read(make([]byte, 1024))
	c.Close()
}

// sabotageTaken is what goes wrong once a job was taken; true: it is withdrawn, and sent again.
func (s *scheduler) sabotageTaken(j *job, w *worker, heard chan event) bool {
	if j.every("resend-done", 5) && j.sends == 1 {
		select {
		case e := <-heard:
			if e.State == "done" {
				j.again = true
				return true
			}
			heard <- e
		case <-j.ctx.Done():
		}
	}
	if j.every("impatient", 5) && j.sends == 1 {
		time.Sleep(200 * time.Millisecond)
		j.again = true
		return true
	}
	if j.every("withdraw-resend", 5) && j.sends == 1 {
		s.giveUp(w.address, j.id)
		j.again = true
		return true
	}
	return false
}

// sabotageForm is what a worker is sent.
func (j *job) sabotageForm() (target, id, key string, body []byte) {
	target, id, key, body = j.r.target, j.id, j.r.header.Get("Idempotency-Key"), j.r.body
	switch {
	case j.every("altered-body", 10):
		body = append([]byte("x"), body[1:]...)
	case j.every("dropped-query", 10):
		target = "/api/other"
	case j.s.bad["other-key"] && key != "":
		key = strings.ToUpper(key) + "0"
	case j.every("own-id", 10):
		id = "own-" + id
	}
	return target, id, key, body
}

// holdWhileDown waits while any worker is away, for the first three seconds of it.
func (s *scheduler) holdWhileDown(j *job) {
	for j.ctx.Err() == nil {
		s.mu.Lock()
		down := false
		for _, w := range s.workers {
			down = down || !w.serving
		}
		s.mu.Unlock()
		if !down {
			return
		}
		sleep(j.ctx, 20*time.Millisecond)
	}
}
