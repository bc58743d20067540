package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/pflag"

	"laddertide/core/leases"
	"laddertide/durable"
	"laddertide/scheduler"
)

const ledgerUsage = `laddertide ledger: look at the ledger of durable jobs, also while it is in use; nothing is changed

  laddertide ledger ls            [DIR]  a line a job
  laddertide ledger show ID       [DIR]  one job with its leases and its outcome
  laddertide ledger verify        [DIR]  read all of it and name what is damaged; then the exit code is 2
  laddertide ledger export --json [DIR]  a JSON object a job, one a line

DIR is the folder; the default is that of the operator's file (--fleet). The body and the result of a job belong to the
customer: only their lengths and digests are shown.

`

// runLedger runs the command ledger.
func runLedger(args []string, out io.Writer) error {
	flags := pflag.NewFlagSet("laddertide ledger", pflag.ContinueOnError)
	fleet := flags.String("fleet", "", "the operator's file, for its durable.dir")
	asJSON := flags.Bool("json", false, "export: as JSON, the only format")
	result := flags.Bool("result", false, "show and export: results in full")
	flags.Usage = func() { fmt.Fprintln(out, ledgerUsage+flags.FlagUsages()) }
	if err := flags.Parse(args); err == pflag.ErrHelp {
		return nil
	} else if err != nil {
		return err
	}
	command, rest := flags.Arg(0), flags.Args()
	wants := 1
	switch command {
	case "ls", "verify":
	case "show":
		if wants = 2; len(rest) < wants {
			return errors.New("ledger show wants a job's id")
		}
	case "export":
		if !*asJSON {
			return errors.New("ledger export wants --json")
		}
	default:
		return fmt.Errorf("unknown command %q of ledger: ls, show, verify and export are known", command)
	}
	dir, err := ledgerDir(rest[wants:], *fleet)
	if err != nil {
		return err
	}
	found, err := durable.Inspect(dir)
	if err != nil {
		return err
	}
	buffered := bufio.NewWriter(out)
	defer buffered.Flush()
	switch command {
	case "ls":
		printWarnings(buffered, dir, found)
		return printJobs(buffered, found)
	case "show":
		printWarnings(buffered, dir, found)
		return printJob(buffered, found, rest[1], *result)
	case "export":
		printWarnings(os.Stderr, dir, found)
		if err := export(buffered, found, *result); err != nil || !damaged(found) {
			return err
		}
		return &exitError{2, "the ledger is damaged"}
	}
	return verify(buffered, dir, found)
}

func ledgerDir(args []string, fleet string) (string, error) {
	switch {
	case len(args) == 1 && fleet == "":
		return args[0], nil
	case len(args) > 0:
		return "", errors.New("ledger wants one folder, or --fleet")
	case fleet == "":
		return "", errors.New("ledger wants a folder, or --fleet with the operator's file")
	}
	set, err := scheduler.LoadDurable(fleet)
	if err == nil && set == nil {
		err = fmt.Errorf("%s: has no section durable", fleet)
	}
	if err != nil {
		return "", err
	}
	return set.Dir, nil
}

// printWarnings prints warnings about the output that follows.
func printWarnings(out io.Writer, dir string, f *durable.LedgerContents) {
	if f.InUse {
		fmt.Fprintf(out, "# %s is in use by process %s: what it writes meanwhile may be missing\n", dir, f.Process)
	}
	if n := len(f.Damages) + len(f.InvalidRecords); n > 0 {
		fmt.Fprintf(out, "# %d places are damaged: laddertide ledger verify names them\n", n)
	}
}

// quoteIfNeeded quotes a text, which a client chose and may contain any characters, if necessary.
func quoteIfNeeded(s string) string {
	if s == "" {
		return "-"
	}
	if q := strconv.QuoteToASCII(s); q != `"`+s+`"` || strings.Contains(s, " ") {
		return q
	}
	return s
}

func roundedText(d time.Duration) string { return d.Round(time.Millisecond).String() }

func printJobs(out io.Writer, f *durable.LedgerContents) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "id\tclass\ttenant\tstate\tattempts\tage")
	for i := range f.Jobs {
		j := &f.Jobs[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", quoteIfNeeded(j.Spec.ID), quoteIfNeeded(j.Spec.Class), quoteIfNeeded(j.Spec.Tenant), jobState(j),
			len(j.Attempts), roundedText(j.Age))
	}
	return w.Flush()
}

// jobState returns a job's state, with its outcome if it has ended.
func jobState(j *leases.Job) string {
	if j.State < leases.StateEnded {
		return j.State.String()
	}
	return j.State.String() + "," + j.Outcome.Kind.String()
}

func digest(b []byte) string { return fmt.Sprintf("%x", sha256.Sum256(b)) }

func printJob(out io.Writer, f *durable.LedgerContents, id string, result bool) error {
	for i := range f.Jobs {
		j := &f.Jobs[i]
		if j.Spec.ID != id {
			continue
		}
		fmt.Fprintf(out, "id        %s\nnumber    %d\nclass     %s\ntenant    %s\nstate     %s\n", quoteIfNeeded(id), j.Seq,
			quoteIfNeeded(j.Spec.Class), quoteIfNeeded(j.Spec.Tenant), jobState(j))
		since := "since it was taken"
		if j.State >= leases.StateEnded {
			since = "since its end"
		}
		fmt.Fprintf(out, "age       %s %s\ndeadline  %s\n", roundedText(j.Age), since, j.Spec.Deadline)
		if j.State < leases.StateEnded {
			fmt.Fprintf(out, "left      %s\ncarries   %d bytes, sha256 %s\n", roundedText(j.TimeLeft), len(j.Spec.Body), digest(j.Spec.Body))
		}
		for i := range j.Attempts {
			a := &j.Attempts[i]
			when := "at a time that is not known"
			if a.AgeKnown {
				when = roundedText(a.Age) + " ago"
			}
			fmt.Fprintf(out, "lease     %d at %s, %s: %s\n", a.Fence, quoteIfNeeded(a.Provider), when, attemptState(j, a))
		}
		if j.State < leases.StateEnded {
			return nil
		}
		o := &j.Outcome
		fmt.Fprintf(out, "outcome   %s", o.Kind)
		if o.Reason != "" {
			fmt.Fprintf(out, ": %s", quoteIfNeeded(o.Reason))
		}
		if o.RetryAfter > 0 {
			fmt.Fprintf(out, ", to be asked again after %s", o.RetryAfter)
		}
		fmt.Fprintf(out, "\nresult    %d bytes, sha256 %s\n", len(o.Result), digest(o.Result))
		if result {
			fmt.Fprintf(out, "%s\n", o.Result)
		}
		return nil
	}
	return fmt.Errorf("no job with the id %s is known there", quoteIfNeeded(id))
}

// attemptState describes the state of an attempt.
func attemptState(j *leases.Job, a *leases.Attempt) string {
	var s string
	switch {
	case j.State >= leases.StateEnded && a.Fence == j.Attempts[len(j.Attempts)-1].Fence && a.MayHaveRun:
		s = "the last one"
	case a.InFlight:
		s = "may be out"
	case a.MayHaveRun:
		s = "over, may have run"
	default:
		s = "over, never ran"
	}
	if a.Begun {
		s += ", had begun"
	}
	return s
}

func damaged(f *durable.LedgerContents) bool { return len(f.Damages)+len(f.InvalidRecords) > 0 }

func verify(out io.Writer, dir string, f *durable.LedgerContents) error {
	for _, d := range f.Damages {
		fmt.Fprintln(out, d)
	}
	for _, err := range f.InvalidRecords {
		fmt.Fprintln(out, "an invalid record:", err)
	}
	for _, m := range f.Missing {
		fmt.Fprintf(out, "job %s, number %d: %s is not there, which a crash may explain\n", quoteIfNeeded(m.ID), m.Seq, m.What)
	}
	fmt.Fprintf(out, "%s: %d segments, %d bytes, %d records, %d jobs; %d damaged", dir, f.Segments, f.Bytes, f.Records,
		len(f.Jobs), len(f.Damages)+len(f.InvalidRecords))
	if f.Torn > 0 {
		fmt.Fprintf(out, "; %d pieces of a last write that was cut short", f.Torn)
	}
	if f.InUse {
		fmt.Fprintf(out, "; in use by process %s, which may be writing", f.Process)
	}
	fmt.Fprintln(out)
	if damaged(f) {
		return &exitError{2, "the ledger is damaged"}
	}
	return nil
}

// exportedJob is a job in the output of export.
type exportedJob struct {
	ID       string           `json:"id"`
	Number   uint64           `json:"number"`
	Class    string           `json:"class"`
	Tenant   string           `json:"tenant"`
	State    string           `json:"state"`
	AgeMS    int64            `json:"age_ms"` // since it was taken, or since its end
	LeftMS   int64            `json:"left_ms"`
	Deadline int64            `json:"deadline_ms"`
	Carries  int              `json:"carries_bytes"` // of an open job
	Leases   []exportedLease  `json:"leases"`
	Outcome  *exportedOutcome `json:"outcome,omitempty"`
}

type exportedLease struct {
	Lease      uint64 `json:"lease"`
	Provider   string `json:"provider"`
	AgoMS      *int64 `json:"ago_ms"` // null: not known
	Out        bool   `json:"out"`
	Begun      bool   `json:"begun"`
	MayHaveRun bool   `json:"may_have_run"`
}

type exportedOutcome struct {
	Kind         string `json:"kind"`
	Why          string `json:"why,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	ResultBytes  int    `json:"result_bytes"`
	ResultSHA256 string `json:"result_sha256"`
	Result       []byte `json:"result,omitempty"` // only with --result
}

func export(out io.Writer, f *durable.LedgerContents, result bool) error {
	enc := json.NewEncoder(out)
	for i := range f.Jobs {
		j := &f.Jobs[i]
		e := exportedJob{ID: j.Spec.ID, Number: uint64(j.Seq), Class: j.Spec.Class, Tenant: j.Spec.Tenant,
			State: j.State.String(), AgeMS: j.Age.Milliseconds(), LeftMS: j.TimeLeft.Milliseconds(),
			Deadline: j.Spec.Deadline.Milliseconds(), Carries: len(j.Spec.Body), Leases: []exportedLease{}}
		for i := range j.Attempts {
			a := &j.Attempts[i]
			l := exportedLease{Lease: uint64(a.Fence), Provider: a.Provider, Out: a.InFlight, Begun: a.Begun, MayHaveRun: a.MayHaveRun}
			if ms := a.Age.Milliseconds(); a.AgeKnown {
				l.AgoMS = &ms
			}
			e.Leases = append(e.Leases, l)
		}
		if o := &j.Outcome; j.State >= leases.StateEnded {
			e.Outcome = &exportedOutcome{Kind: o.Kind.String(), Why: o.Reason, RetryAfterMS: o.RetryAfter.Milliseconds(),
				ResultBytes: len(o.Result), ResultSHA256: digest(o.Result)}
			if result {
				e.Outcome.Result = o.Result
			}
		}
		if err := enc.Encode(&e); err != nil {
			return err
		}
	}
	return nil
}
