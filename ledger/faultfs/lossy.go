package faultfs

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"laddertide/ledger"
)

// Plan configures which changes reach the disk before they are synced. The random choices depend on the seed and the name
// of the folder only; a rehearsal gives each process a seed of its own.
type Plan struct {
	Seed  uint64
	Early float64 // the fraction of written sectors, size changes and folder changes that reach the disk without a sync
	Torn  float64 // the fraction of those sectors of which only the beginning reaches the disk
}

// ParsePlan parses a plan of the form "seed=7,early=0.3,torn=0.1"; missing parts are 0.
func ParsePlan(text string) (p Plan, err error) {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		share := &p.Early
		switch name {
		case "":
			continue
		case "seed":
			if p.Seed, err = strconv.ParseUint(value, 10, 64); err != nil {
				return p, fmt.Errorf("faultfs: %w", err)
			}
			continue
		case "early":
		case "torn":
			share = &p.Torn
		default:
			return p, fmt.Errorf("faultfs: unknown part %q of the plan: want seed, early or torn", name)
		}
		if *share, err = strconv.ParseFloat(value, 64); err != nil || !(*share >= 0 && *share <= 1) {
			return p, fmt.Errorf("faultfs: %s is not a number from 0 to 1", part)
		}
	}
	return p, nil
}

// Lossy is a folder on disk whose unsynced changes are only in the memory of this process. If the process is killed, they are
// lost as in a power loss, except for those that the plan has let through to the disk. The process itself sees all changes, as
// usual. Changes of names reach the disk in order, and each is atomic. A process that closes its lock has ended cleanly and
// loses nothing. Other processes see what is on disk. Lossy implements [ledger.FS] and is for rehearsals only.
type Lossy struct {
	base ledger.FS
	path string
	plan Plan

	mu             sync.Mutex
	rnd            *rand.Rand
	names          map[string]*lossyFile // as programs see them; nil: not read yet
	pendingChanges []lossyChange
	created        int
}

// lossyFile is a file and its changes that are in memory only.
type lossyFile struct {
	d           *Lossy
	displayName string      // the name in error messages
	diskName    string      // the name on disk; it starts with unsyncedPrefix until the file's name is on disk
	diskFile    ledger.File // nil: not opened yet
	linked      bool
	handles     int   // open handles
	size        int64 // as programs see it
	validOnDisk int64 // data on disk at and after this offset is not part of the file
	sectors     map[int64][]byte
}

type lossyChange struct {
	from, to string // to: "" for a removal
	file     *lossyFile
}

// unsyncedPrefix is the prefix of the names on disk of files whose real names are not on disk yet.
const unsyncedPrefix = ".unsynced-"

// NewLossy returns a Lossy for the folder base, which is at path.
func NewLossy(path string, base ledger.FS, plan Plan) *Lossy {
	return &Lossy{base: base, path: path, plan: plan}
}

// load reads the names in the folder, once. Called under mu.
func (d *Lossy) load() error {
	if d.names != nil {
		return nil
	}
	all, err := d.base.List()
	if err != nil {
		return err
	}
	hash := fnv.New64a()
	hash.Write([]byte(filepath.Base(d.path)))
	d.rnd = rand.New(rand.NewPCG(d.plan.Seed, hash.Sum64()))
	d.names = make(map[string]*lossyFile)
	for _, name := range all {
		d.names[name] = &lossyFile{d: d, displayName: name, diskName: name, linked: true}
	}
	return nil
}

func (d *Lossy) chance(share float64) bool { return d.rnd.Float64() < share }

// lossyLock is a lock that writes all changes to disk before it is released.
type lossyLock struct {
	ledger.Lock
	d *Lossy
}

func (l lossyLock) Close() error { return errors.Join(l.d.flush(), l.Lock.Close()) }

// Lock implements ledger.FS. It also removes files whose names a previous process has not synced.
func (d *Lossy) Lock() (ledger.Lock, error) {
	l, err := d.base.Lock()
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	all, err := d.base.List()
	for _, name := range all {
		if strings.HasPrefix(name, unsyncedPrefix) && d.names == nil {
			err = cmp.Or(err, d.base.Remove(name))
		}
	}
	if err = cmp.Or(err, d.load()); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return lossyLock{l, d}, nil
}

// List implements ledger.FS.
func (d *Lossy) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.load(); err != nil {
		return nil, err
	}
	if _, err := d.base.List(); err != nil { // fails if the folder is missing
		return nil, err
	}
	return slices.Sorted(maps.Keys(d.names)), nil
}

// Create implements ledger.FS.
func (d *Lossy) Create(name string, size int64) (ledger.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.load(); err != nil {
		return nil, err
	}
	d.created++
	f := &lossyFile{d: d, displayName: name, diskName: unsyncedPrefix + strconv.Itoa(d.created), linked: true, size: size, sectors: map[int64][]byte{}}
	var err error
	if f.diskFile, err = d.base.Create(f.diskName, size); err != nil {
		return nil, err
	}
	if err = f.diskFile.Truncate(0); err != nil {
		return nil, errors.Join(err, f.diskFile.Close())
	}
	d.unlink(name)
	d.names[name] = f
	f.handles++
	return f, d.recordChange(name, name, f)
}

// unlink removes a name from the file that has it, if there is one.
func (d *Lossy) unlink(name string) {
	if old := d.names[name]; old != nil {
		old.linked = false
		delete(d.names, name)
		old.closeIfUnused()
	}
}

// closeIfUnused closes the underlying file if it has neither a name nor an open handle any more.
func (f *lossyFile) closeIfUnused() error {
	if f.linked || f.handles > 0 || f.diskFile == nil {
		return nil
	}
	return f.diskFile.Close()
}

// recordChange records a change of the folder. By chance, according to the plan, it writes this change and all earlier ones to
// the disk at once.
func (d *Lossy) recordChange(from, to string, f *lossyFile) error {
	d.pendingChanges = append(d.pendingChanges, lossyChange{from, to, f})
	if !d.chance(d.plan.Early) {
		return nil
	}
	return d.applyChanges()
}

// applyChanges applies all recorded changes of names to the folder on disk, in order.
func (d *Lossy) applyChanges() error {
	for len(d.pendingChanges) > 0 {
		c := d.pendingChanges[0]
		var err error
		switch {
		case c.to != "":
			if c.file.diskName != c.to {
				err = d.base.Rename(c.file.diskName, c.to)
			}
			if err == nil {
				c.file.diskName = c.to
			}
		case c.file.diskName == c.from:
			err = d.base.Remove(c.from)
		}
		if err != nil {
			return err
		}
		d.pendingChanges = d.pendingChanges[1:]
	}
	return nil
}

// Open implements ledger.FS.
func (d *Lossy) Open(name string) (ledger.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.load(); err != nil {
		return nil, err
	}
	f := d.names[name]
	if f == nil {
		return nil, &fs.PathError{Op: "open", Path: filepath.Join(d.path, name), Err: fs.ErrNotExist}
	}
	if f.diskFile == nil {
		real, err := d.base.Open(f.diskName)
		if err != nil {
			return nil, err
		}
		if f.size, err = real.Size(); err != nil {
			return nil, errors.Join(err, real.Close())
		}
		f.diskFile, f.validOnDisk, f.sectors = real, f.size, map[int64][]byte{}
	}
	f.handles++
	return f, nil
}

// Rename implements ledger.FS.
func (d *Lossy) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.load(); err != nil {
		return err
	}
	f := d.names[from]
	if f == nil {
		return &fs.PathError{Op: "rename", Path: filepath.Join(d.path, from), Err: fs.ErrNotExist}
	}
	if from == to {
		return nil
	}
	d.unlink(to)
	delete(d.names, from)
	d.names[to] = f
	return d.recordChange(from, to, f)
}

// Remove implements ledger.FS.
func (d *Lossy) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.load(); err != nil {
		return err
	}
	f := d.names[name]
	if f == nil {
		return &fs.PathError{Op: "remove", Path: filepath.Join(d.path, name), Err: fs.ErrNotExist}
	}
	d.unlink(name)
	return d.recordChange(name, "", f)
}

// Sync implements ledger.FS.
func (d *Lossy) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.applyChanges(); err != nil {
		return err
	}
	return d.base.Sync()
}

// flush writes all changes to the disk.
func (d *Lossy) flush() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	err := d.applyChanges()
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		if f := d.names[name]; f.diskFile != nil {
			err = cmp.Or(err, f.flush())
		}
	}
	return cmp.Or(err, d.base.Sync())
}

// ReadAt implements io.ReaderAt.
func (f *lossyFile) ReadAt(b []byte, at int64) (n int, err error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	for n < len(b) && at+int64(n) < f.size {
		s, from := (at+int64(n))/Sector, (at+int64(n))%Sector
		sector, err := f.sector(s)
		if err != nil {
			return n, err
		}
		n += copy(b[n:min(int64(len(b)), f.size-at)], sector[from:])
	}
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

// sector returns the content of a sector, as programs see it.
func (f *lossyFile) sector(s int64) ([]byte, error) {
	if sector := f.sectors[s]; sector != nil {
		return sector, nil
	}
	sector := make([]byte, Sector)
	if left := f.validOnDisk - s*Sector; left > 0 {
		if _, err := f.diskFile.ReadAt(sector[:min(left, Sector)], s*Sector); err != nil && err != io.EOF {
			return nil, err
		}
	}
	return sector, nil
}

// WriteAt implements io.WriterAt.
func (f *lossyFile) WriteAt(b []byte, at int64) (n int, err error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	for n < len(b) {
		s, from := (at+int64(n))/Sector, (at+int64(n))%Sector
		sector, err := f.sector(s)
		if err != nil {
			return n, err
		}
		n += copy(sector[from:], b[n:])
		f.sectors[s] = sector
		f.size = max(f.size, at+int64(n))
		if f.d.chance(f.d.plan.Early) {
			if err := f.writeEarly(s); err != nil {
				return n, err
			}
		}
	}
	return n, nil
}

// writeEarly writes a sector, or only the beginning of it, to the disk before its sync. The sector also stays in memory, to be
// written by the next sync.
func (f *lossyFile) writeEarly(s int64) error {
	b := f.sectors[s][:min(Sector, f.size-s*Sector)]
	if f.d.chance(f.d.plan.Torn) {
		b = b[:f.d.rnd.IntN(len(b))]
	}
	_, err := f.diskFile.WriteAt(b, s*Sector)
	return err
}

// Size implements ledger.File.
func (f *lossyFile) Size() (int64, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	return f.size, nil
}

// Truncate implements ledger.File.
func (f *lossyFile) Truncate(size int64) error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if last := size / Sector; size < f.size && size%Sector > 0 {
		sector, err := f.sector(last)
		if err != nil {
			return err
		}
		clear(sector[size%Sector:])
		f.sectors[last] = sector
	}
	f.size, f.validOnDisk = size, min(f.validOnDisk, size)
	maps.DeleteFunc(f.sectors, func(s int64, _ []byte) bool { return s*Sector >= size })
	if f.d.chance(f.d.plan.Early) {
		return f.diskFile.Truncate(size)
	}
	return nil
}

// Sync implements ledger.File.
func (f *lossyFile) Sync() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	return f.flush()
}

func (f *lossyFile) flush() error {
	if err := f.diskFile.Truncate(f.validOnDisk); err != nil { // a part that was truncated and has grown again must read as zero
		return err
	}
	if err := f.diskFile.Truncate(f.size); err != nil {
		return err
	}
	for _, s := range slices.Sorted(maps.Keys(f.sectors)) {
		if _, err := f.diskFile.WriteAt(f.sectors[s][:min(Sector, f.size-s*Sector)], s*Sector); err != nil {
			return err
		}
	}
	f.validOnDisk = f.size
	clear(f.sectors)
	return f.diskFile.Sync()
}

// CheckLinked implements ledger.File.
func (f *lossyFile) CheckLinked() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if !f.linked {
		return fmt.Errorf("%s was removed from its folder", f.displayName)
	}
	return f.diskFile.CheckLinked()
}

// Close implements ledger.File. Unsynced changes stay in memory.
func (f *lossyFile) Close() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	f.handles--
	return f.closeIfUnused()
}

// CopyFolder copies a folder that is not in use, for a later restore.
func CopyFolder(dir, to string) error { return os.CopyFS(to, os.DirFS(dir)) }

// RestoreFolder restores a folder that is not in use from the copy in from. If from is empty, it only empties the folder.
func RestoreFolder(dir, from string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if err := os.RemoveAll(filepath.Join(dir, e.Name())); err != nil {
			return err
		}
	}
	if from == "" {
		return nil
	}
	return os.CopyFS(dir, os.DirFS(from))
}
