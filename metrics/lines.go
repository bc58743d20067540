package metrics

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"laddertide/policy"
)

// unknown is the common tag of all tenants that the settings do not name.
const unknown = "unknown"

// tags holds the names of the settings, escaped for a format.
type tags struct {
	influx           bool
	classes, tenants []string // the last tenant is unknown
}

func newTags(settings policy.Settings, format string) tags {
	t := tags{influx: format == influx}
	for _, c := range settings.Classes {
		t.classes = append(t.classes, t.clean(c.Name))
	}
	for _, x := range settings.Tenants {
		t.tenants = append(t.tenants, t.clean(x.Name))
	}
	t.tenants = append(t.tenants, unknown)
	return t
}

// clean turns a name into the value of a tag. Influx has escapes for its special characters; statsd has none, so there they
// become underscores, as do characters that would break a line in either format.
func (t *tags) clean(word string) string {
	var b strings.Builder
	for _, r := range word {
		switch {
		case r < ' ' || r == 0x7f || r == '\ufffd' || r == '\u2028' || r == '\u2029' || r == '\u0085':
			b.WriteByte('_')
		case !t.influx && strings.ContainsRune(" ,:|#@", r):
			b.WriteByte('_')
		case t.influx && strings.ContainsRune(" ,=", r):
			b.WriteByte('\\')
			b.WriteRune(r)
		case t.influx && r == '\\': // would escape the character after the value
			b.WriteByte('_')
		default:
			b.WriteRune(r)
		}
	}
	return b.String()
}

// head returns the beginning of a line: the metric's name and, for Influx, its tags.
func (t *tags) head(s series) []byte {
	b := append([]byte(prefix), metricNames[s.figure]...)
	if t.influx {
		return t.append(b, s, ",", "=", ",")
	}
	return b
}

// tail appends the tags of a statsd line.
func (t *tags) tail(b []byte, s series) []byte { return t.append(b, s, "|#", ":", ",") }

func (t *tags) append(b []byte, s series, first, is, next string) []byte {
	add := func(name, value string) {
		if value == "" {
			return // Influx does not accept empty values, and in statsd they are useless
		}
		b = append(append(append(append(b, first...), name...), is...), value...)
		first = next
	}
	if s.class >= 0 {
		add("class", t.classes[s.class])
	}
	if s.tenant >= 0 {
		add("tenant", t.tenants[s.tenant])
	}
	add("server", t.clean(s.server))
	return b
}

// lines returns the lines of a flush, without newlines.
func (t *tags) lines(p *pending, gauges map[series]int, now time.Time) [][]byte {
	var out [][]byte
	one := func(s series, v int, kind string) {
		b := t.head(s)
		if t.influx {
			b = strconv.AppendInt(append(b, " value="...), int64(v), 10)
			out = append(out, stamp(append(b, 'i'), now))
			return
		}
		b = strconv.AppendInt(append(b, ':'), int64(v), 10)
		out = append(out, t.tail(append(b, kind...), s))
	}
	for s, n := range p.counts {
		one(s, n, "|c")
	}
	if p.lost > 0 {
		one(series{figure: lostMetrics, class: -1, tenant: -1}, p.lost, "|c")
	}
	for s, v := range gauges {
		one(s, v, "|g")
	}
	for s, samples := range p.timers {
		if t.influx {
			out = append(out, t.summary(s, samples, now))
			continue
		}
		for _, took := range samples {
			b := millis(append(t.head(s), ':'), took)
			out = append(out, t.tail(append(b, "|ms"...), s))
		}
	}
	slices.SortFunc(out, slices.Compare)
	return out
}

// summary returns the Influx line of a timer. In Influx, points of the same series and time replace each other, so the samples
// of a flush become one point.
func (t *tags) summary(s series, samples []time.Duration, now time.Time) []byte {
	var sum time.Duration
	for _, v := range samples {
		sum += v
	}
	b := strconv.AppendInt(append(t.head(s), " count="...), int64(len(samples)), 10)
	b = millis(append(b, "i,min="...), slices.Min(samples))
	b = millis(append(b, ",mean="...), sum/time.Duration(len(samples)))
	b = millis(append(b, ",max="...), slices.Max(samples))
	return stamp(b, now)
}

func stamp(b []byte, now time.Time) []byte {
	return strconv.AppendInt(append(b, ' '), now.UnixNano(), 10)
}

func millis(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, float64(d.Microseconds())/1000, 'f', -1, 64)
}

// batch is a number of lines that are written together, joined by newlines.
type batch struct {
	text  []byte
	lines int
}

// batches joins lines up to most bytes; a line that is longer than that is a batch of its own.
func batches(lines [][]byte, limit int) []batch {
	var out []batch
	for _, line := range lines {
		if n := len(out); n > 0 && len(out[n-1].text)+1+len(line) <= limit {
			b := &out[n-1]
			b.text = append(append(b.text, '\n'), line...)
			b.lines++
			continue
		}
		out = append(out, batch{line, 1})
	}
	return out
}
