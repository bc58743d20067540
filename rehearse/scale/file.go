package scale

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"laddertide/rehearse/scale/measurement"
)

// FileOf is a measurement file with points that this machine has just measured.
func FileOf(ctx context.Context, command, sizeFile string, scale float64, varied measurement.Parameter, note string,
	points []measurement.Point) (*measurement.File, error) {
	machine, err := measurement.ThisMachine()
	if err != nil {
		return nil, err
	}
	commit, err := measurement.ThisCommit(ctx)
	if err != nil {
		return nil, err
	}
	return &measurement.File{Version: measurement.Version, Command: command, Commit: commit,
		Date: time.Now().UTC().Format(time.RFC3339), Machine: machine,
		Size: measurement.SizeFile{File: sizeFile, Scale: scale}, Varied: string(varied), Note: note, Points: points}, nil
}

// Join puts the points of several files into one: of runs of the same program on the same machine and size, which were
// played in pieces. varied is the parameter that differs between the points.
func Join(files []*measurement.File, varied measurement.Parameter, note string) (*measurement.File, error) {
	if len(files) == 0 {
		return nil, errors.New("there are no files to join")
	}
	out := *files[0]
	out.Varied, out.Note, out.Points = string(varied), note, nil
	out.Command = ""
	for _, f := range files {
		if f.Commit != out.Commit || f.Machine != out.Machine || f.Size != out.Size {
			return nil, fmt.Errorf("%s: its commit, machine or size is another one", f.Command)
		}
		if out.Command != "" {
			out.Command += "; "
		}
		out.Command += f.Command
		out.Date = max(out.Date, f.Date)
		out.Points = append(out.Points, f.Points...)
	}
	slices.SortStableFunc(out.Points, func(a, b measurement.Point) int {
		x, _ := a.Parameters.Value(varied)
		y, _ := b.Parameters.Value(varied)
		return cmp.Or(cmp.Compare(x, y), cmp.Compare(a.Seed, b.Seed))
	})
	return &out, nil
}
