package soak

import (
	"reflect"
	"strings"
	"testing"

	"laddertide/rehearse/scenario"
)

// A seed draws one scenario, which can be played; others draw others; and all faults come within some seeds.
func TestSeedsDrawScenarios(t *testing.T) {
	for _, size := range []Size{Short, Long} {
		kinds := make(map[string]bool)
		seen := make(map[string]bool)
		for seed := range uint64(200) {
			s, err := Scenario(seed, nil, size)
			if err != nil {
				t.Fatal(err)
			}
			again, err := Scenario(seed, nil, size)
			if err != nil || !reflect.DeepEqual(s, again) {
				t.Fatalf("seed %d draws two scenarios: %v", seed, err)
			}
			if err := s.Reread(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			plan, err := s.Draw(seed, scenario.Changes{})
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if len(plan.Schedulers) > size.Schedulers || plan.Traffic.Rate > mostRate {
				t.Errorf("seed %d: %d schedulers, %.0f jobs a second", seed, len(plan.Schedulers), plan.Traffic.Rate)
			}
			text := ""
			for _, trouble := range s.Troubles {
				kinds[trouble.Kind] = true
				text += trouble.Kind + " "
			}
			seen[text] = true
		}
		for _, kind := range []string{"signals", "mute", "vanish", "crash", "slow", "drain", "cut", "provider-reset", "lost-roster",
			"stale", "discovery-cut", "discovery-slow", "discovery-reset", "reload", "pauses", "rude", "burst", "full"} {
			if !kinds[kind] {
				t.Errorf("%s is never drawn", kind)
			}
		}
		if len(seen) < 100 {
			t.Errorf("200 seeds draw %d different sets of troubles", len(seen))
		}
	}
}

// A fault is drawn alike whether others are or not, so that a seed can be played again with some of its faults.
func TestFaultsByName(t *testing.T) {
	all, err := Scenario(7, Faults(), Long)
	if err != nil {
		t.Fatal(err)
	}
	one, err := Scenario(7, []string{"hang"}, Long)
	if err != nil {
		t.Fatal(err)
	}
	if len(one.Troubles) != 1 || one.Troubles[0].Kind != "mute" {
		t.Fatalf("%+v", one.Troubles)
	}
	for _, trouble := range all.Troubles {
		if trouble.Kind == "mute" && !reflect.DeepEqual(trouble, one.Troubles[0]) {
			t.Errorf("%+v alone, %+v among others", one.Troubles[0], trouble)
		}
	}
	_, err = Scenario(7, []string{"hang", "flood"}, Long)
	if err == nil || !strings.Contains(err.Error(), `"flood"`) || !strings.Contains(err.Error(), "signals, hang") {
		t.Errorf("%v", err)
	}
}
