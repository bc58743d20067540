package clients

import (
	"laddertide/core/traffic"
	"laddertide/wire/stomp"
)

// A STOMP client has one session per connection and one job at a time on it, as with HTTP, so that the judge's rules for requests
// and connections hold for both.

// sessionOpening opens a session. The client need not wait for the answer, as nothing that follows depends on the version.
const sessionOpening = "CONNECT\naccept-version:1.2\nhost:api.internal\nheart-beat:0,0\n\n\x00" +
	"SUBSCRIBE\nid:0\ndestination:/answers\n\n\x00"

// nextFrame reads the next frame other than CONNECTED and heart-beats.
func (c *conn) nextFrame() (f stomp.Frame, err error) {
	for {
		if err := c.frames.Next(&f); err != nil {
			return f, err
		}
		if f.Command == stomp.CONNECTED {
			c.frames.SetVersion(stomp.V12)
		} else if f.Command != stomp.Beat {
			return f, nil
		}
	}
}

// destination returns the STOMP destination of a job.
func (t *clientTry) destination(a *traffic.Arrival) string {
	return "/jobs/" + t.runner.class(a).Name + "/" + a.Object
}

// speaksSTOMP reports whether clients use STOMP.
func (k *runner) speaksSTOMP() bool {
	return len(k.Schedulers) > 0 && k.Schedulers[0].STOMPAddress != ""
}
