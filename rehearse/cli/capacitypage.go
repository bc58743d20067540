package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/spf13/pflag"

	"laddertide/rehearse/scale/measurement"
	"laddertide/rehearse/scale/page"
	"laddertide/rehearse/scale/size"
	"laddertide/rehearse/scale/state"
)

const capacityPageCommand = "capacity-page"

const capacityPageUsage = `rehearse capacity-page: the tables of docs/CAPACITY.md, from the measurements in docs/capacity

  rehearse capacity-page                  write the tables anew
  rehearse capacity-page --check          change nothing; exit with 1 if the page differs from its measurements
  rehearse capacity-page --compare A B    print the slopes of file B that differ from those of A by a fifth or more;
                                          exit with 1 if there are any
  rehearse capacity-page --state          measure in this process what a scheduler keeps for each worker, tenant, task
                                          and scheduler, and write docs/capacity/state-*.json

Flags:
`

// capacityPageMain runs the command capacity-page and returns the exit status.
func capacityPageMain(args []string, out, errs io.Writer) int {
	f := pflag.NewFlagSet("rehearse capacity-page", pflag.ContinueOnError)
	f.SetOutput(io.Discard)
	f.Usage = func() {}
	root := f.String("root", ".", "the repository")
	check := f.Bool("check", false, "change nothing, and fail if the page differs")
	compare := f.Bool("compare", false, "compare the slopes of two files")
	measure := f.Bool("state", false, "measure the state and write its files")
	fail := (&app{err: errs}).fail
	if err := f.Parse(args); errors.Is(err, pflag.ErrHelp) {
		fmt.Fprint(out, capacityPageUsage+f.FlagUsagesWrapped(118))
		return Kept
	} else if err != nil {
		return fail(err)
	}
	switch {
	case *check && *compare || *check && *measure || *compare && *measure:
		return fail(errors.New("--check, --compare and --state do not go together"))
	case *compare:
		if f.NArg() != 2 {
			return fail(errors.New("--compare takes two files"))
		}
		return compareSlopes(f.Arg(0), f.Arg(1), out, fail)
	case f.NArg() > 0:
		return fail(fmt.Errorf("capacity-page takes no %q", f.Arg(0)))
	case *measure:
		return measureState(*root, out, fail)
	case *check:
		return checkPage(*root, out, fail)
	}
	changed, err := page.Write(*root)
	if err != nil {
		return fail(err)
	}
	if changed {
		fmt.Fprintln(out, page.PageFile+" is written anew")
	}
	return Kept
}

func checkPage(root string, out io.Writer, fail func(error) int) int {
	was, should, err := page.Generate(root)
	if err != nil {
		return fail(err)
	}
	if string(was) != string(should) {
		return fail(errors.New(page.PageFile + " differs from its measurements; run rehearse capacity-page"))
	}
	fmt.Fprintln(out, page.PageFile+" is what its measurements give")
	return Kept
}

func measureState(root string, out io.Writer, fail func(error) int) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	fleet, err := size.Load(filepath.Join(root, page.SizeFile))
	if err != nil {
		return fail(err)
	}
	files, err := state.Measure(ctx, fleet, page.SizeFile)
	if err != nil {
		return fail(err)
	}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		path := filepath.Join(page.Folder, name)
		if err := files[name].Write(filepath.Join(root, path)); err != nil {
			return fail(err)
		}
		fmt.Fprintln(out, path+" is written")
	}
	return Kept
}

func compareSlopes(before, after string, out io.Writer, fail func(error) int) int {
	var files []measurement.Named
	for _, path := range []string{before, after} {
		file, err := measurement.Read(path)
		if err != nil {
			return fail(err)
		}
		files = append(files, measurement.Named{Name: filepath.Base(path), File: file})
	}
	moved, err := page.Compare(out, files[0], files[1])
	if err != nil {
		return fail(err)
	}
	if moved > 0 {
		return Failed
	}
	return Kept
}
