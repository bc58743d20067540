package report

// Rule names one of the rules: answers, duplicates, drains, cold, altered.
type Rule string

// Breach is one broken rule, as the judge found it.
type Breach struct {
	Rule                       Rule
	Kind                       string
	T                          int64 // microseconds since the run's beginning
	Scheduler, Worker, Request string
	Attempt                    int64
	Text                       string // one plain sentence
}

// Verdict is what the judge says of a history.
type Verdict struct {
	Breaches            []Breach
	Counts              map[Rule]int
	CardIssueDuplicates int
	MissingAnswers      int
	Partial             bool
	Notes               []string
}
