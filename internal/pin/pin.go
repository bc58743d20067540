// Package pin fixes the random seed of property-based tests, so that each run has the same cases.
package pin

import (
	"flag"
	"os"
	"testing"
)

// Run runs a package's tests with rapid's seed pinned. A flag of go test would fail in packages that do not use
// rapid.
func Run(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if given[name] {
			continue // an explicit flag takes precedence
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
