package measurement

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
)

// MaxFile is how many bytes a file may have.
const MaxFile = 16 << 20

// checked is a measurement that can say what is wrong with it.
type checked interface {
	Check() error
}

// Decode reads and checks one file's content. It fails at more than MaxFile bytes, at unknown fields and at anything that
// follows the object.
func Decode(raw []byte) (*File, error) {
	var f File
	if err := decode(raw, &f); err != nil {
		return nil, err
	}
	return &f, nil
}

// decode is Decode for each kind of measurement.
func decode(raw []byte, into checked) error {
	if len(raw) > MaxFile {
		return fmt.Errorf("over %d bytes", MaxFile)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("something follows the object")
	}
	return into.Check()
}

// Encode writes a file as indented JSON, after it was checked.
func (f *File) Encode() ([]byte, error) {
	if err := f.Check(); err != nil {
		return nil, err
	}
	raw, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return nil, err
	}
	return append(raw, '\n'), nil
}

// Read reads and checks one file.
func Read(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f, err := Decode(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Write checks a file and writes it whole or not at all.
func (f *File) Write(path string) error {
	raw, err := f.Encode()
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, raw, 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// Named is a file and its base name, such as "workers.json".
type Named struct {
	Name string
	*File
}

// ReadAll reads all *.json of a folder in the order of their names, but for those that ReadConfigurations reads. A folder
// that is not there has none.
func ReadAll(folder string) ([]Named, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths)
	var files []Named
	for _, path := range paths {
		if isConfiguration(path) {
			continue
		}
		f, err := Read(path)
		if err != nil {
			return nil, err
		}
		files = append(files, Named{Name: filepath.Base(path), File: f})
	}
	return files, nil
}
