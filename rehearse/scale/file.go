package scale

import (
	"context"
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
