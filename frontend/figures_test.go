package frontend

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"laddertide/policy"
)

// TestFiguresOfClientsAreInRange guards against a figure of a client that is no finite number, or out of range, and enters a job: each of
// them makes the request invalid, or counts as not given. Both protocols parse their jobs by this function.
func TestFiguresOfClientsAreInRange(t *testing.T) {
	s := &Server{Settings: policy.Settings{Classes: []policy.Class{{Name: "check", Deadline: 1 << 40}}}}
	figure := rapid.OneOf(rapid.SampledFrom([]string{"inf", "+inf", "-Inf", "infinity", "nan", "1e999", "-1e999", "1e308", "0x1p1023", "0", "-0",
		"-1", "9223372036854775808", "4294967296", "1_0", " 1", ""}), rapid.String(), rapid.Custom(func(t *rapid.T) string {
		return rapid.StringMatching(`[-+]?[0-9]{0,20}(\.[0-9]{1,3})?(e[-+]?[0-9]{1,3})?`).Draw(t, "number")
	}))
	rapid.Check(t, func(t *rapid.T) {
		given := map[string]string{"X-Request-Id": "id", "X-Class": "check", "X-Deadline-Ms": figure.Draw(t, "deadline"),
			"X-Cost-Hint": figure.Draw(t, "hint"), "X-Extras": "memory=1,slots=" + figure.Draw(t, "slots")}
		if rapid.Bool().Draw(t, "only extras") {
			delete(given, "X-Deadline-Ms")
			delete(given, "X-Cost-Hint")
		}
		j, why := s.parseJob(&httpFieldNames, func(name string) string { return given[name] })
		if why != "" {
			return
		}
		if !(j.Slots > 0 && j.Slots <= math.MaxFloat64) || j.Hint < 0 || j.TimeLeft < 0 || j.Deadline < 0 || j.Deadline > 1<<40 {
			t.Fatalf("%v: slots %v, hint %v, deadline %v, left %v", given, j.Slots, j.Hint, j.Deadline, j.TimeLeft)
		}
	})
}
