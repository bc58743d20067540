package starttime

import (
	"fmt"
	"slices"
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

// drawAhead draws by how much an own clock is ahead: it is right, was stepped by seconds or an hour, or is behind.
func drawAhead(t *rapid.T) time.Duration {
	between := func(least, most time.Duration) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.Int64Range(int64(least), int64(most)), func(d int64) time.Duration { return time.Duration(d) })
	}
	return rapid.OneOf(rapid.Just[time.Duration](0), between(0, seconds), between(hour-seconds, hour+seconds), between(-hour-seconds, 0)).Draw(t, "ahead")
}

// drawAges draws how old the starts of a list are, many of them alike.
func drawAges(t *rapid.T) []time.Duration {
	least := rapid.SampledFrom([]time.Duration{0, time.Minute, hour - 2*seconds, 2 * hour}).Draw(t, "least")
	more := rapid.SliceOfN(rapid.Int64Range(0, int64(hour)), 1, 20).Draw(t, "more")
	ages := make([]time.Duration, len(more))
	for i, m := range more {
		ages[i] = least + time.Duration(m)
	}
	return ages
}

// Whatever step the own clock has made, no start of a first list counts as older than it is, as one of the future, or as younger by more
// than the age of the youngest, in whatever order they are listed. By a clock that is right it counts as younger by seconds alone, but
// where all started an hour ago.
func TestFirstListByAnyClock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ahead, ages := drawAhead(t), drawAges(t)
		youngest := slices.Min(ages)
		var c Clock
		own := epoch + ahead
		for _, age := range ages {
			c.Bound(epoch-age, own)
		}
		for i, age := range ages {
			counted := own - c.Started(fmt.Sprint("s-", i), epoch-age, own, false)
			switch {
			case counted < 0 || counted > age || counted < age-youngest:
				t.Fatalf("start %d is %v old, the youngest %v, and it counts as %v old", i, age, youngest, counted)
			case ahead == 0 && youngest < hour-seconds && counted < age-seconds:
				t.Fatalf("start %d is %v old and counts as %v old by a clock that is right", i, age, counted)
			}
		}
	})
}

// News tells of a clock that is further ahead than any step that is reckoned with, whatever was listed before.
func TestNewsByAClockThatIsFarAhead(t *testing.T) {
	const ahead, delay = 3 * day, 2 * time.Second
	for _, listed := range []time.Duration{0, time.Minute, 5 * day} {
		var c Clock
		own := time.Duration(epoch + ahead)
		if listed > 0 {
			c.Started("listed", epoch-listed, own, false)
		}
		if age := own - c.Started("news", epoch-delay, own, true); age < 0 || age > delay {
			t.Errorf("beside a start of %v ago: one of %v ago counts as %v old", listed, delay, age)
		}
	}
}

// A clock that goes on from another one translates as that one has done, and knows as much.
func TestContinue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ages, news := drawAges(t), rapid.Bool().Draw(t, "news")
		own := epoch + drawAhead(t)
		list := func(c *Clock) (started []time.Duration) {
			for _, age := range ages {
				c.Bound(epoch-age, own)
			}
			for i, age := range ages {
				started = append(started, c.Started(fmt.Sprint("s-", i), epoch-age, own, news))
			}
			return started
		}
		var c Clock
		want := list(&c)
		most, isClose := c.Ahead()
		next := Continue(most, isClose, c.Starts())
		if got := list(&next); !slices.Equal(got, want) {
			t.Fatalf("%v, and then %v", want, got)
		}
		if gotMost, gotClose := next.Ahead(); gotMost != most || gotClose != isClose {
			t.Fatalf("ahead %v, %t, and then %v, %t", most, isClose, gotMost, gotClose)
		}
	})
}

// By a clock that is right, what was listed before counts as younger than it is dated by the age of the youngest, and what is listed
// again stays as it was: a clock that is ahead by that age would be told the same list.
func TestListedStarts(t *testing.T) {
	var c Clock
	now := time.Duration(epoch)
	old, young := now-time.Hour, now-2*time.Second
	for _, dated := range []time.Duration{old, young, 0} {
		c.Bound(dated, now)
	}
	for dated, want := range map[time.Duration]time.Duration{old: old + 2*time.Second, young: now, 0: 0} {
		if got := c.Started(fmt.Sprint(dated), dated, now, false); got != want {
			t.Errorf("dated %v ago: %v and not %v ago", now-dated, now-got, now-want)
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
