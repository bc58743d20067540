package ledger

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// FS is the folder of a store: of a ledger or of a snapshot. All names are relative to the folder.
type FS interface {
	// Lock locks the folder for the caller alone. If another process has it locked, the error names that process.
	Lock() (Lock, error)
	// List returns the names of all files.
	List() ([]string, error)
	// Create creates a file of the given size, all zero, and replaces an existing one. It also allocates the space where
	// the file system can.
	Create(name string, size int64) (File, error)
	// Open opens a file for reading and truncating.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync returns once all creations, renames and removals are on disk.
	Sync() error
}

// Lock is the lock of a folder.
type Lock interface {
	// Check fails if the folder is no longer the one that was locked.
	Check() error
	Close() error
}

// File is a file in a folder.
type File interface {
	io.ReaderAt
	io.WriterAt
	Size() (int64, error)
	Truncate(size int64) error
	// Sync returns once all written data is on disk.
	Sync() error
	// CheckLinked fails if the file has been removed from its folder.
	CheckLinked() error
	Close() error
}

// osFolder is the path of a folder of the operating system.
type osFolder string

const lockName = "lock"

func (d osFolder) path(name string) string { return filepath.Join(string(d), name) }

// Lock is retried: a tool that checks whether a folder is in use holds its lock for an instant, and a process that is
// ending holds it for a while.
const (
	lockAttempts   = 10
	lockRetryDelay = 20 * time.Millisecond
)

func (d osFolder) Lock() (Lock, error) {
	f, err := os.OpenFile(d.path(lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	for try := 0; ; try++ {
		err = flock(f, syscall.LOCK_EX)
		if err == nil {
			break
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) || try == lockAttempts-1 {
			holder := readPID(f)
			f.Close()
			if errors.Is(err, syscall.EWOULDBLOCK) {
				return nil, fmt.Errorf("%s is in use by process %s", string(d), holder)
			}
			return nil, fmt.Errorf("%s cannot be locked: %w", d.path(lockName), err)
		}
		time.Sleep(lockRetryDelay)
	}
	// The process id is useful in error messages, but a full disk must not prevent reading the folder: errors are ignored.
	if f.Truncate(0) == nil {
		f.WriteAt([]byte(strconv.Itoa(os.Getpid())+"\n"), 0)
	}
	return &osFolderLock{d, f}, nil
}

// Holder reports whether a process has the folder at path locked, and its id.
func Holder(path string) (pid string, held bool) { return osFolder(path).holder() }

// holder reports whether a process has the folder locked, and its id.
func (d osFolder) holder() (pid string, held bool) {
	f, err := os.Open(d.path(lockName))
	if err != nil {
		return "", false
	}
	defer f.Close()
	if errors.Is(flock(f, syscall.LOCK_SH), syscall.EWOULDBLOCK) {
		return readPID(f), true
	}
	return "", false
}

func flock(f *os.File, how int) error {
	for {
		err := syscall.Flock(int(f.Fd()), how|syscall.LOCK_NB)
		if err != syscall.EINTR {
			return err
		}
	}
}

// readPID returns the process id in a lock file.
func readPID(f *os.File) string {
	b := make([]byte, 20)
	n, _ := f.ReadAt(b, 0)
	pid := strings.TrimSpace(string(b[:n]))
	if _, err := strconv.Atoi(pid); err != nil {
		return "(not known)"
	}
	return pid
}

type osFolderLock struct {
	folder osFolder
	f      *os.File
}

func (l *osFolderLock) Check() error {
	locked, err := l.f.Stat()
	if err != nil {
		return err
	}
	present, err := os.Stat(l.folder.path(lockName))
	if err == nil && !os.SameFile(locked, present) {
		err = errors.New("it is not the folder that was opened")
	}
	if err != nil {
		return fmt.Errorf("the folder %s is gone: %w", string(l.folder), err)
	}
	return nil
}

func (l *osFolderLock) Close() error { return l.f.Close() }

func (d osFolder) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, err
}

func (d osFolder) Create(name string, size int64) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	if err := allocate(f, size); err != nil {
		f.Close()
		os.Remove(d.path(name))
		return nil, &os.PathError{Op: "allocate", Path: d.path(name), Err: err}
	}
	return osFile{f}, nil
}

func (d osFolder) Open(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR, 0)
	if errors.Is(err, os.ErrPermission) || errors.Is(err, syscall.EROFS) {
		f, err = os.Open(d.path(name))
	}
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (d osFolder) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }
func (d osFolder) Remove(name string) error     { return os.Remove(d.path(name)) }

func (d osFolder) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

type osFile struct{ *os.File }

func (f osFile) Sync() error { return datasync(f.File) }

func (f osFile) Size() (int64, error) {
	st, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return st.Size(), nil
}

func (f osFile) CheckLinked() error {
	var st syscall.Stat_t
	if err := syscall.Fstat(int(f.Fd()), &st); err != nil {
		return err
	}
	if st.Nlink == 0 {
		return fmt.Errorf("%s was removed from its folder", f.Name())
	}
	return nil
}
