// Package strictyaml reads the kit's YAML files so that a mistake in one is told in a line that names the file, the
// line and the key: unknown keys, values of the wrong type, values that make no sense. It knows nothing of what files
// mean.
package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// MaxFile is how many bytes a file may have.
const MaxFile = 1 << 20

// Read returns a file's bytes, MaxFile at most.
func Read(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, MaxFile+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > MaxFile {
		return nil, fmt.Errorf("%s: over %d bytes", file, MaxFile)
	}
	return raw, nil
}

// Mistake is a value that makes no sense. Its path leads to the value: keys, and places in lists as numbers.
type Mistake struct {
	Path []string
	What string
}

func (m *Mistake) Error() string {
	var b strings.Builder
	for i, p := range m.Path {
		if _, err := strconv.Atoi(p); err == nil {
			fmt.Fprintf(&b, "[%s]", p)
			continue
		}
		if i > 0 {
			b.WriteByte('.')
		}
		b.WriteString(p)
	}
	return b.String() + ": " + m.What
}

// Decode reads a file's one document into v, a pointer to a structure, and then has it checked. Of the errors that
// check returns, joined ones too, the first is told; that of a *Mistake with its line.
func Decode(file string, raw []byte, v any, check func() error) error {
	var root yaml.Node
	err := yaml.Unmarshal(raw, &root)
	if err == nil {
		dec := yaml.NewDecoder(bytes.NewReader(raw))
		dec.KnownFields(true)
		if err = dec.Decode(v); err == nil && dec.Decode(new(yaml.Node)) != io.EOF {
			err = errors.New("a second document")
		}
		if errors.Is(err, io.EOF) {
			err = errors.New("it is empty")
		}
	}
	if err != nil {
		return fmt.Errorf("%s: %s", file, explain(&root, err))
	}
	if err = check(); err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		err = joined.Unwrap()[0] // one line is enough
	}
	var m *Mistake
	if errors.As(err, &m) {
		return fmt.Errorf("%s: line %d: %w", file, lineOf(&root, m.Path), err)
	}
	return fmt.Errorf("%s: %w", file, err)
}

var (
	unknownField = regexp.MustCompile(`line (\d+): field (\S+) not found in type \S+`)
	typeError    = regexp.MustCompile(`line (\d+): (.*)`)
)

// explain puts an error of the decoder in one line that names the key.
func explain(root *yaml.Node, err error) string {
	text := strings.TrimPrefix(strings.TrimPrefix(err.Error(), "yaml: "), "unmarshal errors:\n")
	first, _, _ := strings.Cut(strings.TrimSpace(text), "\n")
	if m := unknownField.FindStringSubmatch(first); m != nil {
		return fmt.Sprintf("line %s: %s: there is no such key", m[1], m[2])
	}
	if m := typeError.FindStringSubmatch(first); m != nil {
		line, _ := strconv.Atoi(m[1])
		key := keyOf(root, "", line, quotedValue(m[2]))
		if key == "" {
			key = keyAt(root, "", line)
		}
		if key != "" {
			return fmt.Sprintf("line %d: %s: %s", line, key, m[2])
		}
	}
	return first
}

var quoted = regexp.MustCompile("`([^`]+)`")

// quotedValue is the value that a message of the decoder quotes; empty: it quotes none. It cuts a long one short and adds dots.
func quotedValue(message string) string {
	if m := quoted.FindStringSubmatch(message); m != nil {
		return strings.TrimSuffix(m[1], "...")
	}
	return ""
}

// keyOf finds the first key in a line whose value begins so: several can stand in one line.
func keyOf(n *yaml.Node, at string, line int, value string) string {
	for i, c := range n.Content {
		name := at
		switch n.Kind {
		case yaml.MappingNode:
			if i%2 == 0 {
				continue
			}
			name = strings.TrimPrefix(at+"."+n.Content[i-1].Value, ".")
			if value != "" && c.Line == line && c.Kind == yaml.ScalarNode && strings.HasPrefix(c.Value, value) {
				return name
			}
		case yaml.SequenceNode:
			name = fmt.Sprintf("%s[%d]", at, i)
		}
		if inner := keyOf(c, name, line, value); inner != "" {
			return inner
		}
	}
	return ""
}

// keyAt finds the innermost key whose value stands in a line.
func keyAt(n *yaml.Node, at string, line int) (found string) {
	for i, c := range n.Content {
		name := at
		switch n.Kind {
		case yaml.MappingNode:
			if i%2 == 0 {
				continue
			}
			name = strings.TrimPrefix(at+"."+n.Content[i-1].Value, ".")
			if c.Line == line && found == "" {
				found = name
			}
		case yaml.SequenceNode:
			name = fmt.Sprintf("%s[%d]", at, i)
		}
		if inner := keyAt(c, name, line); inner != "" {
			found = inner
		}
	}
	return found
}

// lineOf finds the line of a path such as troubles, 1, for_s; the nearest one above it if it isn't there.
func lineOf(n *yaml.Node, path []string) int {
	line := max(1, n.Line)
	if n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		return lineOf(n.Content[0], path)
	}
	if len(path) == 0 {
		return line
	}
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == path[0] {
				return max(n.Content[i].Line, lineOf(n.Content[i+1], path[1:]))
			}
		}
	case yaml.SequenceNode:
		if i, err := strconv.Atoi(path[0]); err == nil && i < len(n.Content) {
			return lineOf(n.Content[i], path[1:])
		}
	}
	return line
}
