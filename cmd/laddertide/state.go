package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/pflag"

	"laddertide/core/fleet"
	"laddertide/ledger"
	"laddertide/snapshot"
)

const stateUsage = `laddertide state: look at the small state that a scheduler keeps on disk, also while it is in use; nothing is changed

  laddertide state show   DIR  what a start would find
  laddertide state verify DIR  read both generations and name what is wrong with them; then the exit code is 2 if
                               one is damaged, and 3 if one is of a later version

The decision module's estimates and the data of features are shown by length and digest only.

`

// runState runs the command state.
func runState(args []string, out io.Writer) error {
	flags := pflag.NewFlagSet("laddertide state", pflag.ContinueOnError)
	asJSON := flags.Bool("json", false, "as JSON")
	flags.Usage = func() { fmt.Fprintln(out, stateUsage+flags.FlagUsages()) }
	if err := flags.Parse(args); err == pflag.ErrHelp {
		return nil
	} else if err != nil {
		return err
	}
	command := flags.Arg(0)
	switch {
	case command != "show" && command != "verify":
		return fmt.Errorf("unknown command %q of state: show and verify are known", command)
	case flags.NArg() != 2:
		return fmt.Errorf("state %s wants one folder", command)
	}
	dir := flags.Arg(1)
	found, err := snapshot.Inspect(dir)
	if err != nil {
		return err
	}
	if found.State == nil && len(found.FileErrors) == 0 {
		return fmt.Errorf("%s holds no state", dir)
	}
	r := reportOf(dir, &found)
	buffered := bufio.NewWriter(out)
	defer buffered.Flush()
	switch {
	case *asJSON:
		if command == "verify" {
			r.State = nil
		}
		enc := json.NewEncoder(buffered)
		enc.SetIndent("", "  ")
		err = enc.Encode(r)
	case command == "show":
		err = r.show(buffered)
	default:
		r.printSummary(buffered)
	}
	switch {
	case err != nil:
		return err
	case command == "show" && found.State == nil:
		return errors.New("nothing there can be used: laddertide state verify says why")
	case command == "show":
		return nil
	}
	code := 0
	for _, f := range found.FileErrors {
		switch {
		case f.Reason.IsDamage():
			code = 2
		case code == 0:
			code = 3
		}
	}
	switch code {
	case 2:
		return &exitError{2, "the state is damaged"}
	case 3:
		return &exitError{3, "the state is of a later version"}
	}
	return nil
}

// stateReport is the output of both subcommands.
type stateReport struct {
	Dir        string        `json:"dir"`
	InUse      string        `json:"in_use_by,omitempty"` // process id
	Usable     bool          `json:"usable"`
	Generation uint64        `json:"generation"`
	Older      bool          `json:"may_be_older"` // than the last state that was written
	Flaws      []stateFlaw   `json:"flaws"`
	State      *stateContent `json:"state,omitempty"`
}

type stateFlaw struct {
	File       string `json:"file"`
	Reason     string `json:"reason"`
	Generation uint64 `json:"generation,omitempty"`
	Why        string `json:"why"`
}

// stateContent is a state, with the names that the operators' documentation uses.
type stateContent struct {
	Cluster  string        `json:"cluster"`
	Name     string        `json:"name"`
	Start    uint64        `json:"start"`
	Written  time.Time     `json:"written"`
	AgoMS    *int64        `json:"ago_ms"` // null: written in another boot of the machine
	Members  []stateMember `json:"members"`
	Bans     []stateBan    `json:"bans"`
	Undone   int           `json:"undone"`
	List     stateList     `json:"list"`
	Believed int           `json:"believed_providers"`
	Beliefs  statePart     `json:"beliefs"`
	Cold     []stateCold   `json:"cold"`
	Parts    []statePart   `json:"parts"`
}

type stateMember struct {
	Name    string  `json:"name"`
	State   string  `json:"state"`
	Start   uint64  `json:"start"`
	Address string  `json:"address"`
	Weight  float64 `json:"weight"`
	Voter   bool    `json:"voter"`
}

type stateBan struct {
	Provider string    `json:"provider"`
	By       string    `json:"by"`
	Start    uint64    `json:"start"`
	Seq      uint64    `json:"seq"`
	At       time.Time `json:"at"`
}

type stateList struct {
	Index     uint64          `json:"index"`
	AgeMS     int64           `json:"age_ms"` // at the time the state was written
	Providers []stateProvider `json:"providers"`
}

type stateProvider struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Status  string `json:"status"`
	Gone    bool   `json:"gone,omitempty"`
	Out     bool   `json:"out,omitempty"`
}

type stateCold struct {
	Provider string    `json:"provider"`
	Since    time.Time `json:"since"`
	Sent     float64   `json:"sent"`
	AgeMS    int64     `json:"age_ms"`
}

type statePart struct {
	Name   string `json:"name,omitempty"`
	Bytes  int    `json:"bytes"`
	SHA256 string `json:"sha256"`
}

func unix(d time.Duration) time.Time { return time.Unix(0, int64(d)).UTC() }

func reportOf(dir string, f *snapshot.Contents) *stateReport {
	r := &stateReport{Dir: dir, Usable: f.State != nil, Generation: f.Generation, Older: f.MayBeOlder, Flaws: []stateFlaw{}}
	if pid, held := ledger.Holder(dir); held {
		r.InUse = pid
	}
	for _, w := range f.FileErrors {
		r.Flaws = append(r.Flaws, stateFlaw{w.File, w.Reason.String(), w.Generation, w.Err.Error()})
	}
	s := f.State
	if s == nil {
		return r
	}
	t := &stateContent{Cluster: s.Cluster, Name: s.Name, Start: s.Start, Written: unix(time.Duration(s.Written.Wall)),
		Members: []stateMember{}, Bans: []stateBan{}, Undone: len(s.LiftedBans),
		List:     stateList{s.List.Index, s.List.Age.Milliseconds(), []stateProvider{}},
		Believed: len(s.Estimates.Names), Beliefs: statePart{"", len(s.Estimates.Checkpoint), digest(s.Estimates.Checkpoint)},
		Cold: []stateCold{}, Parts: []statePart{}}
	if s.Written.Boot == f.At.Boot && s.Written.Boot != [16]byte{} {
		ms := (f.At.Mono - s.Written.Mono) / 1e6
		t.AgoMS = &ms
	}
	for _, m := range s.Members {
		state := fmt.Sprintf("unknown (%d)", m.State)
		if m.State <= uint8(fleet.Forgotten) {
			state = fleet.State(m.State).String()
		}
		t.Members = append(t.Members, stateMember{m.Name, state, m.Start, m.Address, m.Weight, m.Voter})
	}
	for _, b := range s.Bans {
		t.Bans = append(t.Bans, stateBan{b.Provider, b.By, b.Start, b.Seq, unix(b.At)})
	}
	for _, p := range s.List.Providers {
		t.List.Providers = append(t.List.Providers, stateProvider{p.Name, p.Address, p.Zone, p.Status, p.Unlisted, p.Banned})
	}
	for _, c := range s.ColdWork {
		t.Cold = append(t.Cold, stateCold{c.Provider, unix(c.Since), c.Sent, c.Age.Milliseconds()})
	}
	for _, p := range s.Parts {
		t.Parts = append(t.Parts, statePart{p.Name, len(p.Data), digest(p.Data)})
	}
	r.State = t
	return r
}

// printSummary prints which state there is, and what is wrong with the files.
func (r *stateReport) printSummary(out io.Writer) {
	if r.InUse != "" {
		fmt.Fprintf(out, "# %s is in use by process %s\n", r.Dir, r.InUse)
	}
	for _, f := range r.Flaws {
		fmt.Fprintf(out, "# %s: %s: %s\n", f.File, f.Reason, f.Why)
	}
	switch {
	case !r.Usable:
		fmt.Fprintf(out, "# %s: nothing that can be used\n", r.Dir)
	case r.Older:
		fmt.Fprintf(out, "# %s: generation %d, which may not be the last that was written\n", r.Dir, r.Generation)
	default:
		fmt.Fprintf(out, "# %s: generation %d\n", r.Dir, r.Generation)
	}
}

func (r *stateReport) show(out io.Writer) error {
	r.printSummary(out)
	s := r.State
	if s == nil {
		return nil
	}
	when := "in another boot, or on another machine"
	if s.AgoMS != nil {
		when = roundedText(time.Duration(*s.AgoMS)*time.Millisecond) + " ago"
	}
	fmt.Fprintf(out, "cluster   %s\nname      %s, start %d\nwritten   %s, %s\n", quoteIfNeeded(s.Cluster), quoteIfNeeded(s.Name), s.Start,
		s.Written.Format(time.RFC3339Nano), when)
	fmt.Fprintf(out, "list      index %d, %d providers, heard %s before\n", s.List.Index, len(s.List.Providers),
		roundedText(time.Duration(s.List.AgeMS)*time.Millisecond))
	fmt.Fprintf(out, "beliefs   of %d providers, %d bytes, sha256 %s\n", s.Believed, s.Beliefs.Bytes, s.Beliefs.SHA256)
	for _, p := range s.Parts {
		fmt.Fprintf(out, "part      %s, %d bytes, sha256 %s\n", quoteIfNeeded(p.Name), p.Bytes, p.SHA256)
	}
	fmt.Fprintf(out, "undone    %d bans\n", s.Undone)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(s.Members) > 0 {
		fmt.Fprintln(w, "\nmember\tstate\tstart\taddress\tweight\tvoter")
	}
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%.3f\t%v\n", quoteIfNeeded(m.Name), m.State, m.Start, quoteIfNeeded(m.Address), m.Weight, m.Voter)
	}
	w.Flush()
	if len(s.Bans) > 0 {
		fmt.Fprintln(w, "\nbanned\tby\tat")
	}
	for _, b := range s.Bans {
		fmt.Fprintf(w, "%s\t%s\t%s\n", quoteIfNeeded(b.Provider), quoteIfNeeded(b.By), b.At.Format(time.RFC3339))
	}
	w.Flush()
	if len(s.Cold) > 0 {
		fmt.Fprintln(w, "\ncold\tsince\tsent")
	}
	for _, c := range s.Cold {
		fmt.Fprintf(w, "%s\t%s\t%.3f\n", quoteIfNeeded(c.Provider), c.Since.Format(time.RFC3339), c.Sent)
	}
	return w.Flush()
}
