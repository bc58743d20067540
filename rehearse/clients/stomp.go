package clients

import (
	"laddertide/core/traffic"
	"laddertide/wire/stomp"
)

// A client that speaks STOMP has one session a connection and one job at a time on it, as one that speaks HTTP has: what
// the judge knows of requests and connections holds for both.

// hello opens a session. What follows it need not wait for its answer, as nothing in it depends on the version.
const hello = "CONNECT\naccept-version:1.2\nhost:api.internal\nheart-beat:0,0\n\n\x00" +
	"SUBSCRIBE\nid:0\ndestination:/answers\n\n\x00"

// frame reads the next frame that says something of a job, or ends the session.
func (c *conn) frame() (f stomp.Frame, err error) {
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

// destination is where a job is sent.
func (t *one) destination(a *traffic.Arrival) string {
	return "/jobs/" + t.kit.class(a).Name + "/" + a.Object
}

// speaksSTOMP tells whether clients do.
func (k *kit) speaksSTOMP() bool { return len(k.Schedulers) > 0 && k.Schedulers[0].Sessions != "" }
