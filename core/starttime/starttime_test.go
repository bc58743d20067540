package starttime

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"laddertide/internal/pin"
)

func TestMain(m *testing.M) { pin.Run(m) }

const (
	day   = 24 * time.Hour
	epoch = 20000 * day // of the fleet's clock, when a test begins
)

// Whatever the own clock was set to, a start that is news counts as no older than it is, and not as one of the future. Once some
// news has come quickly, the next counts as no younger than that and its own delay make it.
func TestNewStartsCountAsNoOlderThanTheyAre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ahead := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "ahead"))
		var c Clock
		least := time.Duration(1 << 62)
		fleet := time.Duration(epoch)
		for i := range rapid.IntRange(1, 20).Draw(t, "starts") {
			fleet += time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "later"))
			delay := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "delay"))
			least = min(least, delay)
			own := fleet + ahead
			started := c.Started(fmt.Sprint("s-", i), fleet-delay, own, true)
			if started > own {
				t.Fatalf("start %d is in the future by %v", i, started-own)
			}
			if age := own - started; age > delay {
				t.Fatalf("start %d is %v old and counts as %v old", i, delay, age)
			} else if age < delay-least {
				t.Fatalf("start %d is %v old, news took %v at the least, and it counts as %v old", i, delay, least, age)
			}
		}
	})
}

// By a clock that is right, what was listed before counts as it is dated, and what is listed again stays as it was.
func TestListedStarts(t *testing.T) {
	var c Clock
	now := time.Duration(epoch)
	old, young := now-time.Hour, now-2*time.Second
	for _, dated := range []time.Duration{old, young, 0} {
		if got := c.Started(fmt.Sprint(dated), dated, now, false); got != dated {
			t.Errorf("dated %v: %v", now-dated, now-got)
		}
	}
	if _, known := c.Ahead(); known {
		t.Error("nothing is known of the clock yet")
	}
	now += 3 * time.Second
	if got := c.Started("new", now-time.Second, now, true); got != now {
		t.Errorf("the first news counts as %v old", now-got)
	}
	now += time.Second
	if got := c.Started("newer", now-200*time.Millisecond, now, true); got != now {
		t.Errorf("quicker news counts as %v old", now-got)
	}
	if got := c.Started("new", now-2*time.Second, now, true); got != now-time.Second {
		t.Errorf("a start that is told again moved to %v ago", now-got)
	}
	if got := c.Started("late", now-5*time.Second, now, true); got != now-4800*time.Millisecond {
		t.Errorf("late news counts as %v old", now-got)
	}
}

// A clock that is behind shows at the first list: a start in its future is one of now.
func TestClockThatIsBehind(t *testing.T) {
	var c Clock
	now := time.Duration(epoch) - time.Hour
	if got := c.Started("young", epoch-time.Second, now, false); got != now {
		t.Errorf("a start a second ago counts as %v old", now-got)
	}
	if ahead, known := c.Ahead(); !known || ahead != -time.Hour+time.Second {
		t.Errorf("ahead %v, %t", ahead, known)
	}
}

// Workers that are listed no more are forgotten.
func TestOnly(t *testing.T) {
	var c Clock
	c.Started("a", epoch, epoch, false)
	c.Started("b", epoch, epoch, false)
	c.Only([]string{"b", "not known"})
	if _, known := c.workers["a"]; known || len(c.workers) != 1 {
		t.Errorf("%v", c.workers)
	}
}
