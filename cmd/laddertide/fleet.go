package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/pflag"

	"laddertide/configuration/follower"
	"laddertide/returning"
	"laddertide/scheduler"
)

const fleetUsage = `laddertide fleet: what a scheduler knows of the others, from its address for operators

  laddertide fleet             --admin HOST:PORT   a table: who is there, who is not, bans
  laddertide fleet --json      --admin HOST:PORT   the same as it is sent
  laddertide fleet --watch     --admin HOST:PORT   the same whenever it changes, until SIGINT
  laddertide fleet forget NAME --admin HOST:PORT   declare that the process of an unreachable scheduler has ended
  laddertide fleet proceed     --admin HOST:PORT   after a power loss: go on without what the current step waits for

Forget a scheduler only if you know that its process has ended: what it still sends is not counted any more. The possible cost of
proceeding is shown with the step, and described in docs/operate/recovery.md.

`

const (
	fleetLimit    = 2 * time.Second // for a response; a scheduler asks others for 0.7 s at most
	fleetInterval = 500 * time.Millisecond
	fleetBytes    = 4 << 20
)

// runFleet runs the command fleet.
func runFleet(args []string, out io.Writer) error {
	flags := pflag.NewFlagSet("laddertide fleet", pflag.ContinueOnError)
	admin := flags.String("admin", os.Getenv("GW_ADMIN"), "the scheduler's address for operators (GW_ADMIN)")
	asJSON := flags.Bool("json", false, "as it is sent")
	watch := flags.Bool("watch", false, "whenever it changes")
	flags.Usage = func() { fmt.Fprintln(out, fleetUsage+flags.FlagUsages()) }
	if err := flags.Parse(args); err == pflag.ErrHelp {
		return nil
	} else if err != nil {
		return err
	}
	if *admin == "" {
		return errors.New("fleet wants --admin with a scheduler's address for operators")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	switch {
	case flags.Arg(0) == "forget" && flags.NArg() == 2:
		answer, err := callAdmin(ctx, "PUT", *admin, "/-/fleet/"+url.PathEscape(flags.Arg(1))+"/forget")
		if err == nil {
			_, err = out.Write(answer)
		}
		return err
	case flags.Arg(0) == "proceed" && flags.NArg() == 1:
		return proceed(ctx, out, *admin)
	case flags.NArg() > 0:
		return fmt.Errorf("unknown command %q of fleet: forget NAME and proceed are known", strings.Join(flags.Args(), " "))
	}
	last := ""
	for {
		answer, err := callAdmin(ctx, "GET", *admin, "/-/fleet")
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if !*watch || last == "" {
				return err
			}
			answer = fmt.Appendf(nil, "%s\n", err)
		}
		var report scheduler.FleetPage
		key := string(answer)
		if err == nil {
			if err := json.Unmarshal(answer, &report); err != nil {
				return fmt.Errorf("the response of %s is not a fleet page: %w", *admin, err)
			}
			key = changeKey(&report)
		}
		if key != last {
			if *watch {
				fmt.Fprintln(out, "#", time.Now().Format("15:04:05.000"))
			}
			if *asJSON || err != nil {
				out.Write(answer)
			} else {
				printFleet(out, &report)
			}
			last = key
		}
		if !*watch {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(fleetInterval):
		}
	}
}

// proceed lets a scheduler go on without what its current recovery step waits for.
func proceed(ctx context.Context, out io.Writer, admin string) error {
	page, err := callAdmin(ctx, "GET", admin, "/-/fleet")
	if err != nil {
		return err
	}
	var report scheduler.FleetPage
	if err := json.Unmarshal(page, &report); err != nil || report.Return == nil {
		return fmt.Errorf("%s reports no recovery from a power loss: its operators' file has no section state", admin)
	}
	answer, err := callAdmin(ctx, "PUT", admin, "/-/fleet/proceed?step="+url.QueryEscape(report.Return.Step))
	if err == nil {
		_, err = out.Write(answer)
	}
	return err
}

// changeKey returns the parts of a page whose changes --watch shows, without ages and counts.
func changeKey(r *scheduler.FleetPage) string {
	var b strings.Builder
	fmt.Fprint(&b, r.Me, r.Start, r.Present, r.MayRun, r.Self, r.Majority, r.Restrained, r.Bans, r.Held, r.Conflict)
	for _, m := range r.Members {
		fmt.Fprint(&b, m.Name, m.State, m.Start, m.Address)
	}
	if r.Owners != nil {
		fmt.Fprint(&b, r.Owners.Roster, r.Owners.BlockReason)
	}
	if c := r.Configuration; c != nil {
		fmt.Fprint(&b, c.Version, c.Digest, c.Source, c.FolderProblem, c.SaveError, c.Refused, c.Reason)
		if c.Fleet != nil {
			for _, row := range c.Fleet.Followers {
				fmt.Fprint(&b, row.Name, row.Version, row.InDoubt, row.Refused, row.BehindMS > 0)
			}
		}
	}
	if back := r.Return; back != nil {
		fmt.Fprint(&b, back.Step, back.For, back.Names, back.Without)
	}
	return b.String()
}

// callAdmin makes an operator's request. Any status but 200 is an error.
func callAdmin(ctx context.Context, method, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}} // without the environment's proxy
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, fleetBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s answers %d: %s", address, resp.StatusCode, strings.TrimSpace(string(body)))
		if resp.StatusCode == http.StatusNotFound && path == "/-/fleet" {
			err = fmt.Errorf("%s knows no other schedulers: its operators' file has no section peers, state or configuration", address)
		}
	}
	return body, err
}

// printConfiguration prints which version of the configuration is in force, and which schedulers are behind.
func printConfiguration(out io.Writer, r *scheduler.ConfigurationReport) {
	if r.Version == 0 {
		fmt.Fprint(out, "configuration: the file's settings are in force, no version of the log")
	} else {
		fmt.Fprintf(out, "configuration: version %d (%s) in force for %s", r.Version, r.Digest, milliseconds(r.InForceMS))
	}
	if r.Source == "" {
		fmt.Fprintf(out, "; no source is connected (%s); known to be the newest %s\n", quoteIfNeeded(r.Problem), ageText(r.CurrentMS))
	} else {
		fmt.Fprintf(out, "; source %s at %s, its quorum %s\n", quoteIfNeeded(r.Member), r.Source, ageText(r.QuorumMS))
	}
	if r.FolderProblem != "" {
		fmt.Fprintf(out, "! its folder at the start: %s\n", quoteIfNeeded(r.FolderProblem))
	}
	if r.SaveError != "" {
		fmt.Fprintf(out, "! a version cannot be kept on disk: %s\n", quoteIfNeeded(r.SaveError))
	}
	if r.Refused > 0 {
		fmt.Fprintf(out, "! version %d is refused here: %s\n", r.Refused, quoteIfNeeded(r.Reason))
	}
	if r.FleetError != "" {
		fmt.Fprintf(out, "  who is behind is not known: %s\n", quoteIfNeeded(r.FleetError))
	}
	if r.Fleet != nil {
		printFollowers(out, r.Fleet)
	}
}

// printFollowers prints a source's report about all schedulers.
func printFollowers(out io.Writer, f *follower.Fleet) {
	fmt.Fprintf(out, "  by %s: version %d (%s) is the newest, its quorum %s\n", quoteIfNeeded(f.Member), f.Newest, f.Digest, ageText(f.QuorumMS))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "scheduler\tversion\tbehind for\theard\trefused\tsource")
	for _, row := range f.Followers {
		behind, heard, refused := "-", milliseconds(row.HeardMS).String(), "-"
		if row.BehindMS > 0 {
			behind = milliseconds(row.BehindMS).String()
		}
		if row.InDoubt {
			heard += " (in doubt)"
		}
		if row.Refused > 0 {
			refused = fmt.Sprintf("%d: %s", row.Refused, quoteIfNeeded(row.Reason))
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\n", quoteIfNeeded(row.Name), row.Version, behind, heard, refused, quoteIfNeeded(row.Member))
	}
	w.Flush()
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// ageText formats an age in milliseconds; a negative one means never.
func ageText(age int64) string {
	if age < 0 {
		return "never"
	}
	return milliseconds(age).String() + " ago"
}

// printRecovery prints the state of the recovery after a power loss.
func printRecovery(out io.Writer, r *returning.Report) {
	fmt.Fprintf(out, "return: step %s for %s", r.Step, time.Duration(r.SinceMS)*time.Millisecond)
	if r.For != "" {
		fmt.Fprintf(out, ", waits for %s", r.For)
		if len(r.Names) > 0 {
			fmt.Fprintf(out, " (%s)", quoteIfNeeded(strings.Join(r.Names, " ")))
		}
		if r.UntilMS > 0 {
			fmt.Fprintf(out, ", for %s more", time.Duration(r.UntilMS)*time.Millisecond)
		} else {
			fmt.Fprint(out, ", until it comes or you say proceed")
		}
	}
	fmt.Fprintf(out, "; state found: %s", r.Found)
	if r.Age != "" {
		fmt.Fprintf(out, ", its age %s", r.Age)
	}
	fmt.Fprintln(out)
	if r.LedgerStale {
		fmt.Fprintln(out, "! others have seen a later process of this name than the disk has: it was put back, or lost")
	}
	for _, w := range r.Without {
		fmt.Fprintf(out, "! went on %s\n", quoteIfNeeded(w))
	}
	if r.Waiting > 0 {
		fmt.Fprintf(out, "  %d jobs wait for their turn\n", r.Waiting)
	}
}

// printFleet prints a fleet page as text.
func printFleet(out io.Writer, r *scheduler.FleetPage) {
	if r.Return != nil {
		printRecovery(out, r.Return)
	}
	if r.Configuration != nil {
		printConfiguration(out, r.Configuration)
	}
	if len(r.Members) == 0 {
		return // discovery of the other schedulers has not begun, or there are none
	}
	quorum := "with a majority"
	if !r.Majority {
		quorum = "without a majority"
	}
	fmt.Fprintf(out, "%s is %s, %s: %d present, %d may run; its part of what all share is %.4f", r.Me, r.Self, quorum, r.Present, r.MayRun, r.Share)
	if r.Restrained {
		fmt.Fprint(out, ", halved")
	}
	fmt.Fprintln(out)
	if r.Conflict != "" {
		fmt.Fprintf(out, "! another process of the name %s is at %s: stop one of them\n", r.Me, r.Conflict)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "name\tstate\tfor\theard\tstart\taddress")
	for _, m := range r.Members {
		heard := "-"
		if m.HeardMS >= 0 {
			heard = (time.Duration(m.HeardMS) * time.Millisecond).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", quoteIfNeeded(m.Name), m.State, time.Duration(m.SinceMS)*time.Millisecond, heard,
			time.Unix(0, int64(m.Start)).UTC().Format("2006-01-02T15:04:05.000Z"), quoteIfNeeded(m.Address))
	}
	w.Flush()
	if len(r.Bans) > 0 {
		fmt.Fprintln(w, "out\tby\tat\tnot heard by")
		for _, b := range r.Bans {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", quoteIfNeeded(b.Provider), quoteIfNeeded(b.By), b.At, quoteIfNeeded(strings.Join(b.Missing, " ")))
		}
		w.Flush()
	}
	if len(r.Held) > 0 {
		fmt.Fprintf(out, "held back by a peer's word: %s\n", strings.Join(r.Held, " "))
	}
	if o := r.Owners; o != nil {
		fmt.Fprintf(out, "jobs' owners: roster %s of %d members, %d records kept, %d open jobs, %d questions wait\n", o.Roster, o.Members, o.Records,
			o.Open, o.Waiters)
		if o.BlockReason != "" {
			fmt.Fprintf(out, "  the next roster waits: %s\n", o.BlockReason)
		}
	}
}
