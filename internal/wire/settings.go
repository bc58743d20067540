package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"laddertide/policy"
)

// keyValues are the unparsed settings by key; err is the first error.
type keyValues struct {
	values map[string]string
	err    error
}

func (p *keyValues) fail(key, why string) {
	if p.err == nil {
		p.err = fmt.Errorf("settings: %s %s", key, why)
	}
}

// number parses a value that must not be negative. A missing one is an error if required, else dflt.
func (p *keyValues) number(key string, required bool, dflt float64) float64 {
	s, ok := p.values[key]
	if !ok {
		if required {
			p.fail(key, "is missing")
		}
		return dflt
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.fail(key, fmt.Sprintf("is not a number: %q", s))
		return dflt
	}
	if v < 0 {
		p.fail(key, fmt.Sprintf("is negative: %s", s))
	}
	return v
}

func (p *keyValues) integer(key string, required bool, dflt, limit int) int {
	v := p.number(key, required, float64(dflt))
	if v != math.Trunc(v) || v > float64(limit) {
		p.fail(key, "is not a whole number in range")
		return dflt
	}
	return int(v)
}

func (p *keyValues) micros(key string, required bool) time.Duration {
	v := p.number(key, required, 0)
	if v > maxMicros/2 {
		p.fail(key, "is out of range")
		return 0
	}
	return time.Duration(v * float64(time.Microsecond))
}

// requirePositive records an error if a key is present and its value is not above 0.
func (p *keyValues) requirePositive(key string, v float64) {
	if v <= 0 && p.values[key] != "" {
		p.fail(key, fmt.Sprintf("is not above 0: %s", p.values[key]))
	}
}

func (p *keyValues) boolean(key string) bool {
	switch s := p.values[key]; s {
	case "", "false":
		return false
	case "true":
		return true
	default:
		p.fail(key, fmt.Sprintf("is neither true nor false: %q", s))
		return false
	}
}

// enum parses a value that must be one of words and returns its index.
func (p *keyValues) enum(key string, required bool, words ...string) int {
	s, ok := p.values[key]
	if !ok && !required {
		return 0
	}
	for i, w := range words {
		if s == w {
			return i
		}
	}
	p.fail(key, fmt.Sprintf("is not one of %s: %q", strings.Join(words, ", "), s))
	return 0
}

// list parses a comma-separated list; an empty value is an empty list.
func (p *keyValues) list(key string) []string {
	if s := p.values[key]; s != "" {
		return strings.Split(s, ",")
	}
	return nil
}

// perClass parses one number for each class; classes without one get dflt.
func (p *keyValues) perClass(key string, n int, dflt float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = dflt
	}
	for i, s := range p.list(key) {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || !(math.Abs(v) <= math.MaxUint16) {
			p.fail(key, fmt.Sprintf("is not a list of numbers in range: %q", s))
			return out
		}
		if i < n {
			out[i] = v
		}
	}
	return out
}

const maxItems = 4096

// ParseSettings parses an instance's settings. Unknown keys are ignored.
func ParseSettings(seed uint64, params string) (policy.Settings, error) {
	p := keyValues{values: make(map[string]string)}
	for n, line := range strings.Split(params, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return policy.Settings{}, fmt.Errorf("settings: line %d has no '='", n+1)
		}
		p.values[key] = value
	}
	return p.settings(seed)
}

// ParseSettingsJSON parses the same settings from nested JSON. Keys are joined by dots, so that the same rules for names,
// units and words apply to both forms.
func ParseSettingsJSON(seed uint64, raw []byte) (policy.Settings, error) {
	p := keyValues{values: make(map[string]string)}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var tree map[string]any
	if err := dec.Decode(&tree); err != nil {
		return policy.Settings{}, fmt.Errorf("settings: %w", err)
	}
	for key, v := range tree {
		p.flatten(key, v)
	}
	return p.settings(seed)
}

// flatten stores a JSON value as the pairs that the simulator's text form has for it.
func (p *keyValues) flatten(key string, v any) {
	switch v := v.(type) {
	case nil:
	case map[string]any:
		for k, x := range v {
			p.flatten(key+"."+k, x)
		}
	case []any:
		var words []string
		for i, x := range v {
			switch x.(type) {
			case map[string]any, []any:
				p.values[key+".count"] = strconv.Itoa(len(v))
				p.flatten(key+"."+strconv.Itoa(i), x)
			default:
				words = append(words, fmt.Sprint(x))
			}
		}
		if words != nil {
			p.values[key] = strings.Join(words, ",")
		}
	default:
		p.values[key] = fmt.Sprint(v)
	}
}

// settings builds the settings from the pairs.
func (p *keyValues) settings(seed uint64) (policy.Settings, error) {
	s := policy.Settings{
		Seed:      seed,
		Me:        p.integer("me", true, 0, math.MaxInt32),
		Balancers: p.integer("fleet-size", true, 1, math.MaxInt32),
		Zone:      p.integer("zone", false, 0, math.MaxUint8),
		Zones:     max(1, len(p.list("localities"))),
		Kinds:     max(1, len(p.list("shapes"))),

		OverShareWorth: p.number("over-share-worth", false, 1),
		WorthByWork:    p.enum("worth-by", false, "request", "work") == 1,
		TellsStart:     p.boolean("family-info.tells-start"),
		Subscribe:      p.enum("discovery", false, "automatic", "subscribe") == 1,
		AskEvery:       p.micros("obligations.ask-every", false),
		ColdFrom:       p.number("obligations.cold-from", true, 0),
		WarmWithin:     p.micros("obligations.warm-within", true),
		FallMultiple:   p.number("obligations.fall-multiple", true, 0),
		FallWindow:     p.micros("obligations.fall", true),
		MaxAttempts:    p.integer("permissions.try-limit", true, 1, math.MaxUint16),
		SecondCopies:   p.boolean("permissions.second-copies"),
		Probes:         p.boolean("permissions.probes"),
		Peers:          p.boolean("permissions.peers"),
		Cancel:         p.boolean("permissions.cancel"),
		CrossZone:      p.number("fees.cross-zone", false, 0),

		ZoneNames:   p.list("localities"),
		KindNames:   p.list("shapes"),
		AnswerSlack: p.micros("obligations.answer-slack", false),
		DialTimeout: p.micros("permissions.dial-timeout", false),
		IdleClose:   p.micros("permissions.idle-close", false),
	}
	if p.boolean("permissions.retry-after") {
		s.MaxRetryAfter = p.micros("permissions.max-retry-after", false)
	}
	s.ReportInAnswers = p.enum("stats.via", false, "none", "answers", "probe") == 1
	// Nothing is sent to a worker once it drains, so this grace period is validated but not used.
	p.micros("obligations.stop-sending-within", true)
	for _, name := range p.list("stats.names") {
		s.Report = append(s.Report, reportField(name))
	}
	p.requirePositive("permissions.try-limit", float64(s.MaxAttempts))
	p.classes(&s)
	p.tenants(&s)
	if p.err != nil {
		return s, p.err
	}
	return s, nil
}

func reportField(name string) policy.Field {
	switch name {
	case "inflight":
		return policy.FieldInflight
	case "queue":
		return policy.FieldQueue
	case "util":
		return policy.FieldUtil
	case "x0":
		return policy.FieldFreeSlots
	case "x1":
		return policy.FieldFreeMemory
	}
	return policy.FieldOther
}

func (p *keyValues) classes(s *policy.Settings) {
	n := p.integer("lanes.count", true, 0, maxItems)
	kinds := p.perClass("family-info.class-kind", n, -1)
	stretch := p.perClass("family-info.class-stretch", n, 0)
	for i := range n {
		at := "lanes." + strconv.Itoa(i) + "."
		c := policy.Class{
			Name:     p.values[at+"name"],
			Aim:      p.micros(at+"goal-time", true),
			Stretch:  p.number(at+"aim-stretch", false, stretch[i]),
			Deadline: p.micros(at+"deadline", true),
			Worth:    p.number(at+"worth", false, 1),
			Effect: policy.Effect(p.enum(at+"repeat", true,
				"read_like", "idempotency_key", "non_idempotent")),
			Group:  policy.Group(p.enum(at+"group", false, "all", "zone", "cell")),
			Window: p.micros(at+"repeat-window", false),
			Kind:   int(kinds[i]),
		}
		p.requirePositive(at+"deadline", float64(c.Deadline))
		s.Classes = append(s.Classes, c)
		if p.err != nil {
			return
		}
	}
	if n == 0 && p.err == nil {
		p.err = errors.New("settings: lanes.count is 0")
	}
}

func (p *keyValues) tenants(s *policy.Settings) {
	n := p.integer("parties.count", false, 0, maxItems)
	for i := range n {
		at := "parties." + strconv.Itoa(i) + "."
		s.Tenants = append(s.Tenants, policy.Tenant{
			Name:  p.values[at+"name"],
			Quota: p.number(at+"quota-rps", false, 0),
		})
		if p.err != nil {
			return
		}
	}
}
