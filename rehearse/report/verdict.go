package report

import "laddertide/core/judge"

// The judge's own words.
type (
	Rule    = judge.Rule
	Breach  = judge.Breach
	Verdict = judge.Verdict
)
