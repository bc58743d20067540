package strictyaml

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

type doc struct {
	Name  string `yaml:"name"`
	Parts []struct {
		Size int `yaml:"size"`
	} `yaml:"parts"`
}

func TestOneLineNamesFileLineAndKey(t *testing.T) {
	wrong := func() error {
		return errors.Join(&Mistake{[]string{"parts", "1", "size"}, "too much"}, errors.New("never told"))
	}
	fine := func() error { return nil }
	for _, c := range []struct {
		text, want string
		check      func() error
	}{
		{"name: a\nparts:\n- size: 1\n- size: 2\n", "x.yaml: line 4: parts[1].size: too much", wrong},
		{"name: a\nparts: []\n", "x.yaml: line 2: parts[1].size: too much", wrong},
		{"name: a\nparts:\n- size: big\n", "x.yaml: line 3: parts[0].size: cannot unmarshal", fine},
		{"name: a\nparts:\n- {size: 2, size_of: 3}\n", "x.yaml: line 3: size_of: there is no such key", fine},
		{"name: a\nparts: [{size: 2}, {size: 2s}]\n", "x.yaml: line 2: parts[1].size: cannot unmarshal", fine},
		{"name: a\nname: b\n", "x.yaml: line 2: ", fine},
		{"nam: a\n", "x.yaml: line 1: nam: there is no such key", fine},
		{"name: a\n---\nname: b\n", "x.yaml: a second document", fine},
		{"", "x.yaml: it is empty", fine},
		{"name: a\n", "x.yaml: no line for this", func() error { return errors.New("no line for this") }},
	} {
		err := Decode("x.yaml", []byte(c.text), &doc{}, c.check)
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q:\n got %v\nwant %s", c.text, err, c.want)
		}
	}
	var d doc
	if err := Decode("x.yaml", []byte("name: a\nparts: [{size: 4}]\n"), &d, fine); err != nil || d.Parts[0].Size != 4 {
		t.Errorf("%+v, %v", d, err)
	}
}

func TestReadIsBounded(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x.yaml")
	if err := os.WriteFile(file, make([]byte, MaxFile), 0o600); err != nil {
		t.Fatal(err)
	}
	if raw, err := Read(file); err != nil || len(raw) != MaxFile {
		t.Errorf("%d bytes, %v", len(raw), err)
	}
	if err := os.WriteFile(file, make([]byte, MaxFile+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(file); err == nil || !strings.Contains(err.Error(), "over ") {
		t.Errorf("too long a file: %v", err)
	}
	if _, err := Read(file + "x"); err == nil {
		t.Error("a file that is not there")
	}
}
