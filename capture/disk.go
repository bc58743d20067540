package capture

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// File names hold a number that only grows, also over restarts, so that they sort by age.
const (
	filePrefix = "capture-"
	fileSuffix = ".jsonl"
)

// chunk is text for one file; newFile means that it begins a new file.
type chunk struct {
	newFile bool
	text    []byte
}

// disk writes the files in a goroutine of its own, from a bounded queue.
type disk struct {
	set    Settings
	log    *slog.Logger
	onLost func(events int) // called without mu
	stop   chan struct{}
	done   chan struct{}

	mu    sync.Mutex
	queue []chunk
	bytes int

	// Used by the goroutine only.
	file   *os.File
	broken bool // events are lost until the next file begins
	warned time.Time
}

func newDisk(set Settings, log *slog.Logger, lost func(int)) *disk {
	return &disk{set: set, log: log, onLost: lost, stop: make(chan struct{}), done: make(chan struct{})}
}

// add queues text for the current file, or for a new one; it returns false if the queue is full.
func (d *disk) add(text []byte, newFile bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.bytes+len(text) > queueBytes {
		return false
	}
	d.bytes += len(text)
	if newFile || len(d.queue) == 0 {
		d.queue = append(d.queue, chunk{newFile: newFile})
	}
	last := &d.queue[len(d.queue)-1]
	last.text = append(last.text, text...)
	return true
}

const (
	writeEvery = 200 * time.Millisecond
	closeLimit = 200 * time.Millisecond // for the last lines, on a disk that may be stuck
)

func (d *disk) start() { go d.run() }

func (d *disk) close() {
	close(d.stop)
	timer := time.NewTimer(closeLimit)
	defer timer.Stop()
	select {
	case <-d.done:
	case <-timer.C:
	}
}

func (d *disk) run() {
	defer close(d.done)
	timer := time.NewTimer(writeEvery)
	defer timer.Stop()
	for last := false; !last; {
		select {
		case <-d.stop:
			last = true
		case <-timer.C:
			timer.Reset(writeEvery)
		}
		d.mu.Lock()
		queue := d.queue
		d.queue, d.bytes = nil, 0
		d.mu.Unlock()
		lost := 0
		for _, p := range queue {
			lost += d.write(p)
		}
		if lost > 0 {
			d.onLost(lost)
		}
	}
	if d.file != nil {
		d.file.Close()
	}
}

// write writes a chunk and returns the number of events that were lost. After an error the file, whose last line may be
// incomplete, is not written to again.
func (d *disk) write(p chunk) int {
	events := bytes.Count(p.text, []byte{'\n'})
	if p.newFile {
		events-- // its head
		if err := d.openNext(); err != nil {
			d.fail(err)
		}
	}
	if d.broken {
		return events
	}
	n := 0
	_, err := os.Stat(d.file.Name()) // writes to a file that was removed would succeed and be lost
	if err == nil {
		n, err = d.file.Write(p.text)
	}
	if err != nil {
		d.fail(err)
		return min(events, bytes.Count(p.text[n:], []byte{'\n'}))
	}
	return 0
}

func (d *disk) fail(err error) {
	d.broken = true
	if time.Since(d.warned) > time.Minute {
		d.warned = time.Now()
		d.log.Error("capture not written: events are lost until a new file can be", "setting", "capture.dir", "err", err)
	}
}

// openNext opens a new file, after it has removed old ones to stay within the limits.
func (d *disk) openNext() error {
	d.broken = false
	if d.file != nil {
		d.file.Close()
		d.file = nil
	}
	files, newest, err := captureFiles(d.set.Dir)
	if err != nil {
		return err
	}
	total := 0
	for _, f := range files {
		total += f.size
	}
	for len(files) > 0 && (len(files) >= d.set.Files || total+d.set.segment() > d.set.MaxBytes) {
		if err := os.Remove(files[0].path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		total -= files[0].size
		files = files[1:]
	}
	path := filepath.Join(d.set.Dir, fmt.Sprintf("%s%08d%s", filePrefix, newest+1, fileSuffix))
	d.file, err = os.OpenFile(path, os.O_WRONLY|os.O_APPEND|os.O_CREATE|os.O_EXCL, 0o640)
	return err
}

type captureFile struct {
	path   string
	number int
	size   int
}

// captureFiles returns the capture files of a folder, oldest first, and the highest number.
func captureFiles(dir string) (files []captureFile, newest int, err error) {
	all, err := os.ReadDir(dir)
	if err != nil {
		return nil, 0, err
	}
	for _, e := range all {
		name, ok := strings.CutPrefix(e.Name(), filePrefix)
		if name, more := strings.CutSuffix(name, fileSuffix); ok && more && e.Type().IsRegular() {
			if n, err := strconv.Atoi(name); err == nil && n >= 0 {
				f := captureFile{path: filepath.Join(dir, e.Name()), number: n}
				if info, err := e.Info(); err == nil {
					f.size = int(info.Size())
				}
				files, newest = append(files, f), max(newest, n)
			}
		}
	}
	slices.SortFunc(files, func(a, b captureFile) int { return a.number - b.number })
	return files, newest, nil
}
