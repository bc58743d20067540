// Package page generates the tables of docs/CAPACITY.md from the measurements of docs/capacity and the size file. The
// text between the tables is written by hand; verdicts and figures are not.
package page

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"laddertide/rehearse/scale/measurement"
	"laddertide/rehearse/scale/size"
)

// Places of the page and of what it is generated from, from the repository's root.
const (
	PageFile = "docs/CAPACITY.md"
	Folder   = "docs/capacity"
	SizeFile = "rehearse/scale/files/size-two-years.yaml"
)

// Generate returns the page as it is in a repository and as it should be.
func Generate(root string) (was, should []byte, err error) {
	path := filepath.Join(root, PageFile)
	if was, err = os.ReadFile(path); err != nil {
		return nil, nil, err
	}
	files, err := measurement.ReadAll(filepath.Join(root, Folder))
	if err != nil {
		return nil, nil, err
	}
	fleet, err := size.Load(filepath.Join(root, SizeFile))
	if err != nil {
		return nil, nil, err
	}
	configurations, err := measurement.ReadConfigurations(filepath.Join(root, Folder))
	if err != nil {
		return nil, nil, err
	}
	report := newReport(fleet, files, configurations, func(folder string) bool {
		info, err := os.Stat(filepath.Join(root, folder))
		return err == nil && info.IsDir()
	})
	should, err = fill(was, report.tables())
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", PageFile, err)
	}
	return was, should, nil
}

// Write generates the page and tells whether it changed.
func Write(root string) (changed bool, err error) {
	was, should, err := Generate(root)
	if err != nil || bytes.Equal(was, should) {
		return false, err
	}
	return true, os.WriteFile(filepath.Join(root, PageFile), should, 0o644)
}

var marker = regexp.MustCompile(`^<!-- (generated: ([a-z-]+)|end) -->$`)

// fill replaces what stands between the markers of each table. Each table must have its place, and each place its table.
func fill(text []byte, tables map[string]string) ([]byte, error) {
	var out strings.Builder
	used := make(map[string]bool)
	inside := ""
	for _, line := range strings.SplitAfter(string(text), "\n") {
		found := marker.FindStringSubmatch(strings.TrimRight(line, "\n"))
		switch {
		case found == nil && inside == "":
			out.WriteString(line)
		case found == nil: // an earlier table
		case found[1] == "end":
			if inside == "" {
				return nil, fmt.Errorf("an end without a beginning")
			}
			inside = ""
			out.WriteString(line)
		default:
			name := found[2]
			table, known := tables[name]
			switch {
			case inside != "":
				return nil, fmt.Errorf("%s begins before the end of %s", name, inside)
			case !known:
				return nil, fmt.Errorf("there is no table %s", name)
			case used[name]:
				return nil, fmt.Errorf("%s stands twice", name)
			}
			used[name] = true
			inside = name
			out.WriteString(line)
			out.WriteString(table)
		}
	}
	if inside != "" {
		return nil, fmt.Errorf("%s has no end", inside)
	}
	for name := range tables {
		if !used[name] {
			return nil, fmt.Errorf("the table %s has no place", name)
		}
	}
	return []byte(out.String()), nil
}
