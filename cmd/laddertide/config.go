package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/pflag"

	"laddertide/configuration/client"
	"laddertide/configuration/follower"
	core "laddertide/core/configuration"
	"laddertide/peers"
	"laddertide/scheduler"
	wire "laddertide/wire/configuration"
)

const configUsage = `laddertide config: the configuration that sources keep for all schedulers

  laddertide config set FILE --base N --source HOST:PORT   make the JSON object of settings in FILE the version after N
  laddertide config restore FILE --version N --source HOST:PORT
                                                          begin a new cluster's versions at N with the settings in FILE: after a
                                                          majority of sources was lost for good, docs/operate/configuration.md
  laddertide config kept --dir DIR --name SCHEDULER       print the document that a scheduler keeps in its folder, without any source
  laddertide config show              --source HOST:PORT   print the newest version's document, its number on standard error
  laddertide config status            --source HOST:PORT   a table: which scheduler has which version, and who is behind

Any source will do; with several, separated by commas, the next one is asked where one cannot tell. set asks again with the same request
id until the answer is certain, --wait at most; 0 is the version before the first one.

`

// retryInterval is the time between two attempts to get an answer.
const retryInterval = 200 * time.Millisecond

// configTool holds what the subcommands of config share.
type configTool struct {
	sources []string
	options client.Options
	wait    time.Duration
	out     io.Writer
}

// runConfig runs the command config.
func runConfig(args []string, out io.Writer) error {
	flags := pflag.NewFlagSet("laddertide config", pflag.ContinueOnError)
	sources := flags.StringSlice("source", nil, "addresses of sources")
	cluster := flags.String("cluster", "laddertide", "name of the sources' cluster")
	keyFile := flags.String("key-file", "", "the sources' key file; none: nothing is sealed")
	base := flags.Uint64("base", 0, "set: the version that the change was made from")
	request := flags.String("request", "", "set: the id of a request that may have been made before; none: a new one")
	version := flags.Uint64("version", 0, "restore: the first version of the new cluster, newer than any that a scheduler may have had")
	dir := flags.String("dir", "", "kept: the scheduler's folder, configuration.dir of its operators' file")
	name := flags.String("name", "", "kept: the scheduler's name")
	author := flags.String("author", os.Getenv("USER"), "set: who makes the change")
	wait := flags.Duration("wait", 30*time.Second, "how long to ask for a certain answer")
	asJSON := flags.Bool("json", false, "status: as it is sent")
	flags.Usage = func() { fmt.Fprintln(out, configUsage+flags.FlagUsages()) }
	if err := flags.Parse(args); err == pflag.ErrHelp {
		return nil
	} else if err != nil {
		return err
	}
	if flags.Arg(0) == "kept" && flags.NArg() == 1 {
		return printKept(&follower.Settings{Dir: *dir, Cluster: *cluster}, *name, out)
	}
	if len(*sources) == 0 {
		return errors.New("config wants --source with the address of a source")
	}
	tool := configTool{sources: *sources, wait: *wait, out: out, options: client.Options{Cluster: *cluster, Name: "config"}}
	if *keyFile != "" {
		var err error
		if tool.options.Keys, err = peers.ReadKeys(*keyFile); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	switch command := flags.Arg(0); {
	case command == "set" && flags.NArg() == 2:
		if !flags.Changed("base") {
			return errors.New("config set wants --base with the version that the change was made from")
		}
		return tool.set(ctx, flags.Arg(1), &wire.Propose{Request: *request, Base: *base, Author: *author})
	case command == "restore" && flags.NArg() == 2:
		return tool.restore(ctx, flags.Arg(1), *version, &wire.Propose{Request: *request, Author: *author})
	case command == "show" && flags.NArg() == 1:
		return tool.show(ctx)
	case command == "status" && flags.NArg() == 1:
		return tool.status(ctx, *asJSON)
	}
	return fmt.Errorf("unknown command %q of config: set FILE, restore FILE, kept, show and status are known", strings.Join(flags.Args(), " "))
}

// untilCertain asks one source after the other until one gives a certain answer, for at most t.wait.
func (t *configTool) untilCertain(ctx context.Context, ask func(*client.Client) (certain bool, err error)) error {
	ctx, stop := context.WithTimeout(ctx, t.wait)
	defer stop()
	for i := 0; ; i++ {
		err := t.askSource(ctx, t.sources[i%len(t.sources)], ask)
		if err == nil || errors.Is(err, errCertain) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("no certain answer within %v: %w", t.wait, err)
		case <-time.After(retryInterval):
		}
	}
}

// errCertain is wrapped by errors that another attempt would not change.
var errCertain = errors.New("config")

func (t *configTool) askSource(ctx context.Context, address string, ask func(*client.Client) (bool, error)) error {
	options := t.options
	options.Address, options.AnswerTimeout = address, t.wait
	c, err := client.Dial(ctx, options)
	if err != nil {
		return err
	}
	defer c.Close()
	certain, err := ask(c)
	if err != nil && certain {
		return fmt.Errorf("%w: %w", errCertain, err)
	}
	return err
}

// set proposes a document as a change of the newest version.
func (t *configTool) set(ctx context.Context, file string, p *wire.Propose) error {
	return t.propose(ctx, file, p, func(newest uint64) error {
		if newest == 0 && p.Base > 0 {
			return errors.New("there is no version yet: --base 0 is the version before the first, or see restore")
		}
		return nil
	})
}

// restore proposes a document as the first version of a cluster that has none.
func (t *configTool) restore(ctx context.Context, file string, version uint64, p *wire.Propose) error {
	if version == 0 || version > core.MaxFirstBase {
		return errors.New("config restore wants --version with a number that is newer than any version that a scheduler may have had")
	}
	p.Base = version - 1
	return t.propose(ctx, file, p, func(newest uint64) error {
		if newest > 0 && newest != version {
			return fmt.Errorf("there is a version %d already: restore is for a new cluster", newest)
		}
		return nil
	})
}

// propose proposes a document. Before each attempt, allowed is called with the newest version that the source knows.
func (t *configTool) propose(ctx context.Context, file string, p *wire.Propose, allowed func(newest uint64) error) error {
	document, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if len(document) > wire.MaxDocument {
		return fmt.Errorf("%s has %d bytes, more than the limit of %d", file, len(document), wire.MaxDocument)
	}
	if err := scheduler.CheckDocument(document); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	p.Document = document
	if p.Request == "" {
		p.Request = client.NewRequest()
	}
	err = t.untilCertain(ctx, func(c *client.Client) (bool, error) {
		newest, err := c.Newest()
		if err != nil {
			return false, err
		}
		if err := allowed(newest.Version); err != nil {
			return false, err // a disconnected source may not know newer versions: ask another one
		}
		answer, err := c.Propose(p)
		if err != nil {
			return false, err
		}
		switch answer.Code {
		case wire.Accepted:
			fmt.Fprintf(t.out, "version %d, digest %s\n", answer.Version, wire.DigestOf(document))
			return true, nil
		case wire.Conflict, wire.Invalid, wire.RequestReuse:
			return true, fmt.Errorf("%s: %s", answer.Code, answer.Text)
		}
		return false, fmt.Errorf("%s says: %s: %s", c.Source(), answer.Code, answer.Text)
	})
	if err != nil && !errors.Is(err, errCertain) {
		return fmt.Errorf("%w; ask again with --request %s", err, p.Request)
	}
	return err
}

// printKept prints the document that a scheduler keeps in its folder, also while the folder is in use.
func printKept(set *follower.Settings, name string, out io.Writer) error {
	if set.Dir == "" || name == "" {
		return errors.New("config kept wants --dir with the scheduler's folder and --name with its name")
	}
	found := follower.Inspect(set, name)
	kept := &found.Document
	switch {
	case kept.Version == 0 && found.Damage != nil:
		return fmt.Errorf("%s: %w", set.Dir, found.Damage)
	case kept.Version == 0:
		return fmt.Errorf("%s: no version is kept there", set.Dir)
	case found.Damage != nil:
		fmt.Fprintf(os.Stderr, "%s: damaged, and this may not be the newest: %v\n", set.Dir, found.Damage)
	}
	fmt.Fprintf(os.Stderr, "version %d, digest %s, accepted at %s\n", kept.Version, kept.Digest, at(kept.AcceptedAt.UnixMilli()))
	_, err := out.Write(kept.Body)
	return err
}

// show prints the document of the newest version.
func (t *configTool) show(ctx context.Context) error {
	return t.untilCertain(ctx, func(c *client.Client) (bool, error) {
		p, err := c.Newest()
		if err != nil {
			return false, err
		}
		if p.Version == 0 {
			return true, errors.New("there is no version yet")
		}
		fmt.Fprintf(os.Stderr, "version %d, digest %s, accepted at %s\n", p.Version, p.Digest, at(p.AcceptedAt))
		_, err = t.out.Write(p.Document)
		return true, err
	})
}

func at(millis int64) string { return time.UnixMilli(millis).UTC().Format(time.RFC3339) }

// status prints which scheduler has which version.
func (t *configTool) status(ctx context.Context, asJSON bool) error {
	return t.untilCertain(ctx, func(c *client.Client) (bool, error) {
		s, err := c.Status()
		if err != nil {
			return false, err
		}
		if asJSON {
			return true, json.NewEncoder(t.out).Encode(s)
		}
		return true, printStatus(t.out, s)
	})
}

func printStatus(out io.Writer, s *wire.Status) error {
	fmt.Fprintf(out, "version %d, digest %s, accepted at %s; %s says, leader %s, term %d, quorum %v ago\n", s.Newest, s.Digest, at(s.AcceptedAt),
		s.Member, orNone(s.Leader), s.Term, millis(s.QuorumAge))
	if s.Leader == "" {
		fmt.Fprintln(out, "no leader answers: these are the schedulers connected to this source alone")
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "SCHEDULER\tVERSION\tBEHIND\tHEARD\tSOURCE\tNOTE")
	for _, row := range s.Rows {
		note := ""
		if row.Refused > 0 {
			note = fmt.Sprintf("refuses %d: %s", row.Refused, row.Reason)
		}
		if row.InDoubt {
			note = strings.TrimPrefix(note+"; in doubt: it may serve with what it had", "; ")
		}
		behind := "no"
		if row.Behind > 0 {
			behind = millis(row.Behind).String()
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%v ago\t%s\t%s\n", row.Name, row.Version, behind, millis(row.HeardAgo), row.Member, note)
	}
	return w.Flush()
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}
