// Package operator reads the operator's file: YAML with one section per feature. It is strict, because a setting
// that is misspelt or out of range would otherwise go unnoticed until it is needed.
package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"

	"sigs.k8s.io/yaml"
)

// File is the operator's file.
type File struct {
	path     string
	sections map[string]json.RawMessage
}

// Load reads a file that may contain only the known sections.
func Load(path string, known ...string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	f := &File{path: path}
	fail := func(why string) error {
		return fmt.Errorf("%s: %s", path, strings.Join(strings.Fields(why), " ")) // the library's errors span several lines
	}
	if multipleDocuments(raw) {
		return nil, fail("holds more than one document")
	}
	asJSON, err := yaml.YAMLToJSONStrict(raw)
	if err != nil {
		return nil, fail(err.Error())
	}
	if err := json.Unmarshal(asJSON, &f.sections); err != nil {
		return nil, fail("is not a mapping of sections")
	}
	for _, name := range keys(f.sections) {
		if !slices.Contains(known, name) {
			return nil, fail(name + ": no such section; there are " + strings.Join(known, ", "))
		}
	}
	return f, nil
}

// multipleDocuments reports whether raw holds more than one document: the library reads the first and ignores the others.
func multipleDocuments(raw []byte) bool {
	marks, documents, newDocument := 0, 0, true
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, " \t\r\n")
		if bytes.HasPrefix(line, []byte("---")) {
			marks++
			newDocument, line = true, line[3:]
		} else if bytes.Equal(line, []byte("...")) {
			newDocument, line = true, nil
		}
		if newDocument && len(line) > 0 && line[0] != '#' && line[0] != '%' {
			documents++
			newDocument = false
		}
	}
	return marks > 1 || documents > 1
}

func keys(m map[string]json.RawMessage) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Section is one feature's part of a file. Its methods record the first error; Done returns it.
type Section struct {
	path, name string
	values     map[string]json.RawMessage
	keysRead   []string
	items      []*Section
	err        error
}

// Section returns the named section, or nil if the file lacks it. A section without settings is not nil.
func (f *File) Section(name string) *Section {
	raw, ok := f.sections[name]
	if !ok {
		return nil
	}
	s := &Section{path: f.path, name: name}
	if json.Unmarshal(raw, &s.values) != nil {
		s.err = fmt.Errorf("%s: %s: is not a mapping of settings", f.path, name)
	}
	return s
}

// Path returns the path of the file.
func (s *Section) Path() string { return s.path }

// Fail records an error of a setting, unless there is one already.
func (s *Section) Fail(key, format string, args ...any) {
	if s.err == nil {
		why := s.name + "." + key + ": " + fmt.Sprintf(format, args...)
		s.err = fmt.Errorf("%s: %s", s.path, strings.Join(strings.Fields(why), " ")) // one line, whatever is in the file
	}
}

// Done returns the first error. A setting that no method has read is one.
func (s *Section) Done() error {
	for _, key := range keys(s.values) {
		if !slices.Contains(s.keysRead, key) {
			s.Fail(key, "no such setting; there are %s", strings.Join(s.keysRead, ", "))
		}
	}
	for _, item := range s.items {
		if err := item.Done(); err != nil && s.err == nil {
			s.err = err
		}
	}
	return s.err
}

// read decodes a setting and reports whether it is present.
func (s *Section) read(key string, to any, kind string) bool {
	s.keysRead = append(s.keysRead, key)
	raw, ok := s.values[key]
	if !ok {
		return false
	}
	if bytes.Equal(raw, []byte("null")) {
		s.Fail(key, "has no value")
	} else if json.Unmarshal(raw, to) != nil {
		s.Fail(key, "%s is not %s", raw, kind)
	}
	return true
}

// Int reads an integer from lo to hi. If the setting is absent, v keeps its value.
func (s *Section) Int(key string, v *int, lo, hi int) {
	if s.read(key, v, "a whole number") && (*v < lo || *v > hi) {
		s.Fail(key, "%d is not within %d and %d", *v, lo, hi)
	}
}

// Bool reads true or false. If the setting is absent, v keeps its value.
func (s *Section) Bool(key string, v *bool) { s.read(key, v, "true or false") }

// Text reads a non-empty string. If the setting is absent, v keeps its value.
func (s *Section) Text(key string, v *string) {
	if s.read(key, v, "a text") && *v == "" {
		s.Fail(key, "is empty")
	}
}

// Texts reads a list of strings. If the setting is absent, v keeps its value. An empty list, an empty string and a repeated
// string are errors.
func (s *Section) Texts(key string, v *[]string) {
	var list []string
	if !s.read(key, &list, "a list of texts") || s.err != nil {
		return
	}
	if len(list) == 0 {
		s.Fail(key, "is empty")
	}
	for i, t := range list {
		switch {
		case t == "":
			s.Fail(key, "has an empty text")
		case slices.Contains(list[:i], t):
			s.Fail(key, "has %q twice", t)
		}
	}
	*v = list
}

// Items reads a list of mappings, each as a section that is covered by Done of s. If the setting is absent, it returns nil.
func (s *Section) Items(key string) []*Section {
	var list []map[string]json.RawMessage
	if !s.read(key, &list, "a list of mappings") || s.err != nil {
		return nil
	}
	if len(list) == 0 {
		s.Fail(key, "is empty")
	}
	for i, values := range list {
		s.items = append(s.items, &Section{path: s.path, name: fmt.Sprintf("%s.%s[%d]", s.name, key, i), values: values})
	}
	return s.items[len(s.items)-len(list):]
}

// OneOf reads one of the given words. If the setting is absent, v keeps its value. YAML reads a version such as 1.2 as a
// number; it is accepted without quotes.
func (s *Section) OneOf(key string, v *string, words ...string) {
	var raw json.RawMessage
	if !s.read(key, &raw, "") || bytes.Equal(raw, []byte("null")) {
		return
	}
	if json.Unmarshal(raw, v) != nil {
		*v = string(raw)
	}
	if !slices.Contains(words, *v) {
		s.Fail(key, "%s is not one of %s", raw, strings.Join(words, ", "))
	}
}

// Require records an error if one of the settings is absent.
func (s *Section) Require(keys ...string) {
	for _, key := range keys {
		if _, ok := s.values[key]; !ok {
			s.Fail(key, "is missing, and has no default")
		}
	}
}
