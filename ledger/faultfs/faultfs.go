// Package faultfs implements folders of a ledger for fault injection. [Disk] is a folder in memory, for tests: its
// operations fail, hang or are partly done as a test requires, and it simulates power losses, in which any unsynced
// sectors and any unsynced changes of the folder may be lost. [Lossy], for rehearsals, is a folder on disk whose unsynced
// changes are lost when the process is killed.
package faultfs

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
	"slices"
	"sync"

	"laddertide/ledger"
)

// Sector is the size in bytes of the unit that a disk writes; a sector that is only partly written is torn.
const Sector = 512

// Op is an operation that changes or syncs the disk.
type Op struct {
	N    int // number of the operation, from 1
	Kind string
	Name string
	Size int // bytes of a write
}

// The kinds of operations.
const (
	Create   = "create"
	Write    = "write"
	Truncate = "truncate"
	Sync     = "sync"
	Rename   = "rename"
	Remove   = "remove"
	SyncDir  = "syncdir"
)

// Outcome describes the result of an operation.
type Outcome struct {
	Err       error // nil: it succeeds
	Partial   int   // the part that takes effect if Err is not nil: bytes of a write; for other operations all, if not 0
	PowerLoss bool  // power loss: this operation and all later ones fail
}

// ErrPowerLoss is the error of all operations after a power loss.
var ErrPowerLoss = errors.New("the power is off")

// Disk is a folder and its files. It implements [ledger.FS].
type Disk struct {
	// Decide decides the outcome of each operation; if nil, all succeed. It may block, and the operation then hangs. It is
	// called without any lock held, and must be set before the disk is used.
	Decide func(Op) Outcome
	// IntN returns a random number from 0 to n-1. It selects the data that reaches the disk in a sync that fails; if nil,
	// none does.
	IntN func(n int) int

	mu             sync.Mutex
	ops            int
	powerOff       bool
	missing        bool
	locked         bool
	names          map[string]*inode
	syncedNames    map[string]*inode // names, as they are on disk
	pendingChanges []change          // changes of names since the last sync of the folder
}

type inode struct {
	data    []byte // as programs see it
	synced  []byte // as it is on disk
	dirty   map[int]bool
	resized bool // the size has changed since the last sync
	links   int
}

type change struct {
	kind     string
	from, to string
	node     *inode
}

// New returns an empty folder.
func New() *Disk { return &Disk{names: map[string]*inode{}, syncedNames: map[string]*inode{}} }

// Ops returns the number of operations so far.
func (d *Disk) Ops() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ops
}

// SetMissing makes the folder appear to be missing, or present again.
func (d *Disk) SetMissing(missing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.missing = missing
}

// begin counts an operation and returns its outcome.
func (d *Disk) begin(kind, name string, size int) Outcome {
	d.mu.Lock()
	d.ops++
	op := Op{d.ops, kind, name, size}
	off := d.powerOff
	d.mu.Unlock()
	if off {
		return Outcome{Err: ErrPowerLoss}
	}
	var f Outcome
	if d.Decide != nil {
		f = d.Decide(op)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.powerOff { // the power was lost while the operation hung
		return Outcome{Err: ErrPowerLoss}
	}
	if f.PowerLoss {
		d.powerOff = true
		if f.Err == nil {
			f.Err = ErrPowerLoss
		}
	}
	if f.Err == nil && d.missing && kind != Write && kind != Truncate && kind != Sync {
		f = Outcome{Err: fs.ErrNotExist}
	}
	return f
}

func (f Outcome) takesEffect() bool { return f.Err == nil || f.Partial > 0 }

type lock struct{ d *Disk }

func (l lock) Check() error {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	if l.d.missing {
		return fs.ErrNotExist
	}
	return nil
}

func (l lock) Close() error {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	l.d.locked = false
	return nil
}

// Lock implements ledger.FS.
func (d *Disk) Lock() (ledger.Lock, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locked || d.powerOff {
		return nil, errors.New("the disk is in use, or off")
	}
	d.locked = true
	return lock{d}, nil
}

// List implements ledger.FS.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.missing || d.powerOff {
		return nil, fs.ErrNotExist
	}
	return slices.Sorted(maps.Keys(d.names)), nil
}

// Create implements ledger.FS.
func (d *Disk) Create(name string, size int64) (ledger.File, error) {
	f := d.begin(Create, name, 0)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !f.takesEffect() {
		return nil, f.Err
	}
	if old := d.names[name]; old != nil {
		old.links--
	}
	n := &inode{data: make([]byte, size), dirty: map[int]bool{}, resized: true, links: 1}
	d.names[name] = n
	d.pendingChanges = append(d.pendingChanges, change{Create, name, name, n})
	if f.Err != nil {
		return nil, f.Err
	}
	return &file{d, name, n}, nil
}

// Open implements ledger.FS.
func (d *Disk) Open(name string) (ledger.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[name]
	switch {
	case d.powerOff:
		return nil, ErrPowerLoss
	case n == nil || d.missing:
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &file{d, name, n}, nil
}

// Rename implements ledger.FS.
func (d *Disk) Rename(from, to string) error {
	f := d.begin(Rename, from, 0)
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[from]
	if f.Err == nil && n == nil {
		return fs.ErrNotExist
	}
	if f.takesEffect() && n != nil {
		if old := d.names[to]; old != nil {
			old.links--
		}
		delete(d.names, from)
		d.names[to] = n
		d.pendingChanges = append(d.pendingChanges, change{Rename, from, to, n})
	}
	return f.Err
}

// Remove implements ledger.FS.
func (d *Disk) Remove(name string) error {
	f := d.begin(Remove, name, 0)
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[name]
	if f.Err == nil && n == nil {
		return fs.ErrNotExist
	}
	if f.takesEffect() && n != nil {
		n.links--
		delete(d.names, name)
		d.pendingChanges = append(d.pendingChanges, change{Remove, name, name, n})
	}
	return f.Err
}

// Sync implements ledger.FS.
func (d *Disk) Sync() error {
	f := d.begin(SyncDir, "", 0)
	d.mu.Lock()
	defer d.mu.Unlock()
	if f.takesEffect() {
		d.syncedNames, d.pendingChanges = maps.Clone(d.names), nil
	}
	return f.Err
}

type file struct {
	d    *Disk
	name string
	n    *inode
}

func (f *file) ReadAt(b []byte, at int64) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.d.powerOff {
		return 0, ErrPowerLoss
	}
	if at >= int64(len(f.n.data)) {
		return 0, io.EOF
	}
	n := copy(b, f.n.data[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) WriteAt(b []byte, at int64) (int, error) {
	outcome := f.d.begin(Write, f.name, len(b))
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	n := len(b)
	if outcome.Err != nil {
		n = min(outcome.Partial, n)
	}
	if n == 0 {
		return 0, outcome.Err
	}
	f.n.resize(max(len(f.n.data), int(at)+n))
	copy(f.n.data[at:], b[:n])
	for s := int(at) / Sector; s <= (int(at)+n-1)/Sector; s++ {
		f.n.dirty[s] = true
	}
	return n, outcome.Err
}

func (n *inode) resize(size int) {
	switch {
	case size > len(n.data):
		n.data = append(n.data, make([]byte, size-len(n.data))...)
		n.resized = true
	case size < len(n.data):
		n.data = n.data[:size:size]
		n.resized = true
		maps.DeleteFunc(n.dirty, func(s int, _ bool) bool { return s*Sector >= size })
	}
}

func (f *file) Size() (int64, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.d.powerOff {
		return 0, ErrPowerLoss
	}
	return int64(len(f.n.data)), nil
}

func (f *file) Truncate(size int64) error {
	outcome := f.d.begin(Truncate, f.name, 0)
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if outcome.takesEffect() {
		f.n.resize(int(size))
	}
	return outcome.Err
}

func (f *file) Sync() error {
	outcome := f.d.begin(Sync, f.name, 0)
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if outcome.Err == nil {
		f.n.flush(func(int) bool { return true }, true)
		return nil
	}
	if outcome.Err != ErrPowerLoss && !f.d.powerOff {
		// As the kernel does after a failed sync, take all data for written, whether or not it has reached the disk.
		f.n.flush(func(int) bool { return f.d.IntN != nil && f.d.IntN(2) == 1 }, f.d.IntN != nil && f.d.IntN(2) == 1)
	}
	return outcome.Err
}

// flush writes to the disk the dirty sectors that reaches selects, and the file size if size is set. All sectors are clean
// afterwards.
func (n *inode) flush(reaches func(sector int) bool, size bool) {
	if size && n.resized {
		n.synced = slices.Grow(n.synced, max(0, len(n.data)-len(n.synced)))
		if len(n.synced) < len(n.data) {
			n.synced = append(n.synced, make([]byte, len(n.data)-len(n.synced))...)
		}
		n.synced = n.synced[:len(n.data):len(n.data)]
		n.resized = false
	}
	for _, s := range slices.Sorted(maps.Keys(n.dirty)) {
		if from := s * Sector; reaches(s) && from < len(n.synced) {
			copy(n.synced[from:], n.data[from:min(from+Sector, len(n.data))])
		}
	}
	clear(n.dirty)
}

func (f *file) CheckLinked() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.n.links <= 0 || f.d.missing {
		return fs.ErrNotExist
	}
	return nil
}

func (f *file) Close() error { return nil }

// AfterPowerLoss returns the disk as it is after a power loss. draw returns a random number from 0 to n-1 and decides what is lost.
// All later operations on d fail.
func (d *Disk) AfterPowerLoss(draw func(n int) int) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.powerOff = true
	after := New()
	remaining := maps.Clone(d.syncedNames)
	choice := draw(4) // 0: keep all; 1: keep nothing; 2: draw for each change; 3: so, and sectors may be torn
	keep := func() bool { return choice == 0 || choice != 1 && draw(2) == 1 }
	for _, c := range d.pendingChanges {
		if !keep() {
			continue
		}
		if c.kind != Create {
			delete(remaining, c.from)
		}
		if c.kind != Remove {
			remaining[c.to] = c.node
		}
	}
	for _, name := range slices.Sorted(maps.Keys(remaining)) {
		n := remaining[name]
		size := len(n.synced)
		if n.resized && keep() {
			size = len(n.data)
		}
		data := make([]byte, size)
		copy(data, n.synced)
		for _, s := range slices.Sorted(maps.Keys(n.dirty)) {
			from, to := min(s*Sector, size), min((s+1)*Sector, size, len(n.data))
			if from >= to || !keep() {
				continue
			}
			if choice == 3 && draw(4) == 0 {
				to = from + draw(to-from) // torn
			}
			copy(data[from:to], n.data[from:to])
		}
		node := &inode{data: data, synced: bytes.Clone(data), dirty: map[int]bool{}, links: 1}
		after.names[name], after.syncedNames[name] = node, node
	}
	return after
}

// AfterKill returns the disk as it is after the process that used it was killed: nothing is lost, and unsynced data remains
// unsynced. All later operations on d fail.
func (d *Disk) AfterKill() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.powerOff = true
	after := New()
	copies := map[*inode]*inode{}
	copyOf := func(n *inode) *inode {
		if copies[n] == nil {
			copies[n] = &inode{bytes.Clone(n.data), bytes.Clone(n.synced), maps.Clone(n.dirty), n.resized, n.links}
		}
		return copies[n]
	}
	for name, n := range d.names {
		after.names[name] = copyOf(n)
	}
	for name, n := range d.syncedNames {
		after.syncedNames[name] = copyOf(n)
	}
	for _, c := range d.pendingChanges {
		c.node = copyOf(c.node)
		after.pendingChanges = append(after.pendingChanges, c)
	}
	return after
}

// Names returns the names of the files, as programs see them.
func (d *Disk) Names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.names))
}

// Bytes returns the content of a file, which counts as synced from then on. Changes of the slice change the file, both as
// programs see it and on disk.
func (d *Disk) Bytes(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[name]
	if n == nil {
		return nil
	}
	n.synced, n.resized = n.data, false
	clear(n.dirty)
	return n.data
}

// Delete removes a file, also on disk, without an operation of the store.
func (d *Disk) Delete(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.names[name]; n != nil {
		n.links--
	}
	delete(d.names, name)
	delete(d.syncedNames, name)
}
