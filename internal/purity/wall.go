package main

import (
	"go/ast"
	"go/types"
	"slices"
	"strings"
)

// Use of the wall clock. A machine's wall clock may be stepped, by seconds or by an hour, while its monotonic clock runs on. Durations
// (deadlines, windows, waits, ages) are differences of time.Time values that carry both readings; a conversion to a number loses the
// monotonic one. So each function that converts a date to a number is listed here, with the purpose.

// dateMethods are the methods of time.Time that return a date as a number.
var dateMethods = []string{"Unix", "UnixMilli", "UnixMicro", "UnixNano"}

// mayConvertDates are the functions that may use them, by full name, each with its reason.
var mayConvertDates = map[string]string{
	"(*laddertide/dispatch.Engine).ClockOffset":   "how far the system's clock was stepped, for the next process",
	"laddertide/dispatch.NewAt":                   "the origin of the decision clock, which then follows the monotonic clock",
	"(*laddertide/returning.Driver).now":          "the origin of the recovery clock, which then follows the monotonic clock",
	"(*laddertide/returning.Driver).cold":         "the same, to determine which starts came before",
	"(*laddertide/returning.Driver).nextNumber":   "one of several lower bounds for the number of this process",
	"laddertide/internal/uptime.systemMoment":     "the wall-clock part of a time that outlives the process",
	"laddertide/internal/uptime.withoutBootClock": "the same, where the system has no clock since boot",
	"laddertide/metrics.stamp":                    "the date of a metric, for metrics systems",

	// Numbers of processes: they grow from one process of a name to the next. After a step back of the clock, the other schedulers report
	// the higher number, and the process takes a later one.
	"laddertide/peers.Start":                  "the number of this process",
	"laddertide/configuration/source.New":     "the number of this process",
	"laddertide/configuration/follower.Open":  "the number of this process",
	"laddertide/owners.New":                   "the first number for jobs that this process accepts",
	"(*laddertide/peers.Peers).ReportFailure": "the number of a failure report; after a step back of the clock, reports are ignored for as long",

	// Dates from or for other machines: shown, or compared with a warning. No duration is derived from them.
	"(*laddertide/peers.Peers).Ban":                           "the date of a ban",
	"(*laddertide/peers.Peers).Enable":                        "the date of its end",
	"(*laddertide/peers.delegate).LocalState":                 "this machine's date, for the other's warning that clocks differ",
	"(*laddertide/peers.delegate).MergeRemoteState":           "the difference to the other's date: beliefs are not taken over if it is large",
	"(*laddertide/configuration/source.node).proposeAsLeader": "the date of a version",
	"laddertide/configuration/follower.codeDocument":          "the same, on disk",
	"laddertide/configuration/follower.pushOf":                "the same, in a message",
	"laddertide/cmd/laddertide.printKept":                     "the same, for operators",
	"(*laddertide/core/configuration.Table).rowsOf":           "how far a follower is behind, from the dates of two machines, for operators",
}

// checkDates finds the uses of dates that are not listed above, in the packages of this module that a program consists of. A listed
// function without such a use is a breach as well, so that the list stays accurate.
func checkDates(dir, program string) (breaches []breach, looked []string, err error) {
	used := make(map[string]bool)
	module, _, _ := strings.Cut(program, "/")
	look := func(c *checker, p *listedPackage, imports types.Importer) error {
		if !strings.HasPrefix(p.ImportPath, module+"/") {
			return nil
		}
		files, err := c.parse(p)
		if err != nil {
			return err
		}
		info := types.Info{Uses: map[*ast.Ident]types.Object{}, Defs: map[*ast.Ident]types.Object{}}
		conf := types.Config{Importer: imports, FakeImportC: true}
		if _, err := conf.Check(p.ImportPath, c.fset, files, &info); err != nil {
			return err
		}
		for _, f := range files {
			c.findDates(f, &info, used)
		}
		return nil
	}
	breaches, looked, err = inspect(dir, look, program)
	if err != nil {
		return nil, nil, err
	}
	for in := range mayConvertDates {
		if !used[in] {
			breaches = append(breaches, breach{"internal/purity/wall.go", 1, in + " makes no number of a date"})
		}
	}
	return breaches, looked, nil
}

// findDates finds the uses of dates in one file. used collects the listed functions that have one.
func (c *checker) findDates(f *ast.File, info *types.Info, used map[string]bool) {
	for _, decl := range f.Decls {
		in := "a declaration"
		if fn, ok := decl.(*ast.FuncDecl); ok {
			if obj, ok := info.Defs[fn.Name].(*types.Func); ok {
				in = obj.FullName()
			}
		}
		ast.Inspect(decl, func(n ast.Node) bool {
			id, ok := n.(*ast.Ident)
			switch {
			case !ok || !isDate(info.Uses[id]):
			case mayConvertDates[in] != "":
				used[in] = true
			default:
				c.at(id.Pos(), "a date as a number in "+in)
			}
			return true
		})
	}
}

// isDate reports whether an object is one of the methods of dates.
func isDate(obj types.Object) bool {
	f, ok := obj.(*types.Func)
	if !ok || f.Pkg() == nil || f.Pkg().Path() != "time" || f.Signature().Recv() == nil {
		return false
	}
	return slices.Contains(dateMethods, f.Name())
}
