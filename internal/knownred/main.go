// Knownred reads KNOWN-RED.txt, the list of known failures that are not fixed yet. It checks that each entry is complete and that its
// command would run as written, and prints a regular expression for go test -skip that matches the tests among the entries. The entries
// themselves go to standard error. It does not run the commands.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"regexp"
	"strings"
)

// file is the path of the list, at the root of the project.
const file = "KNOWN-RED.txt"

func main() {
	text, err := os.ReadFile(file)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
	entries, err := parse(string(text))
	for _, e := range entries {
		if err == nil {
			err = e.check()
		}
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", file, err)
		os.Exit(1)
	}
	if len(entries) > 0 {
		fmt.Fprintf(os.Stderr, "known failures:\n%s", text)
	}
	fmt.Println(skipped(entries))
}

// entry is one line of the list.
type entry struct {
	line, name, command string
}

var form = regexp.MustCompile(`^([^|]+) \| command: ([^|]+) \| seed: [^|]+ \| seen: [^|]+ \| issue: [0-9]+$`)

// parse reads the list, one entry per line.
func parse(text string) ([]entry, error) {
	var entries []entry
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		m := form.FindStringSubmatch(line)
		if m == nil {
			return nil, fmt.Errorf("each entry is 'test, play or day | command: ... | seed: ... | seen: ... | issue: NUMBER': %s", line)
		}
		entries = append(entries, entry{line: line, name: m[1], command: m[2]})
	}
	return entries, nil
}

var testName = regexp.MustCompile(`^Test[A-Za-z0-9_]+$`)

// skipped returns a regular expression that matches the tests among the entries and nothing else.
func skipped(entries []entry) string {
	var names []string
	for _, e := range entries {
		if testName.MatchString(e.name) {
			names = append(names, e.name)
		}
	}
	if len(names) == 0 {
		return "^$"
	}
	return "^(" + strings.Join(names, "|") + ")$"
}

// The locations of the programs that commands may start with.
const (
	kitPrefix       = "../given/kit/" // not there in CI
	rehearseProgram = "bin/rehearse"
)

// check returns an error with the entry's line if its command would not run.
func (e *entry) check() error {
	words := strings.Fields(e.command)
	var err error
	switch {
	case strings.HasPrefix(e.command, "go test "):
		err = checkTest(words)
	case words[0] == rehearseProgram:
		err = checkRehearsal(words[1:])
	case strings.HasPrefix(words[0], kitPrefix):
		err = checkKit(words[0])
	default:
		err = fmt.Errorf("the command begins neither with go test, nor %s, nor %s", rehearseProgram, kitPrefix)
	}
	if err != nil {
		return fmt.Errorf("%w: %s", err, e.line)
	}
	return nil
}

// checkTest checks that the test of -run exists in the packages that the command names.
func checkTest(words []string) error {
	list := []string{"test"}
	name := ""
	for i := 2; i < len(words); i++ {
		switch {
		case words[i] == "-run" && i+1 < len(words):
			i++
			name = strings.Trim(words[i], "^$")
		case strings.HasPrefix(words[i], "./"):
			list = append(list, words[i])
		}
	}
	if !testName.MatchString(name) || len(list) == 1 {
		return errors.New("the command names no test and package")
	}
	list = append(list, "-list", "^"+name+"$")
	out, err := exec.Command("go", list...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("go test -list: %w: %s", err, out)
	}
	for line := range strings.Lines(string(out)) {
		if strings.TrimSpace(line) == name {
			return nil
		}
	}
	return fmt.Errorf("there is no test %s", name)
}

// noDaemon is a path without a scheduler: a rehearsal checks its other arguments before it looks for the scheduler.
const noDaemon = "not/there/laddertide"

// checkRehearsal has the program itself check the command's arguments.
func checkRehearsal(words []string) error {
	args := append([]string{"run", "./cmd/rehearse"}, words...)
	out, err := exec.Command("go", append(args, "--daemon", noDaemon)...).CombinedOutput()
	if err == nil || strings.Contains(string(out), noDaemon) {
		return nil
	}
	return errors.New(strings.TrimSpace(string(out)))
}

// checkKit checks that a program of the operators' kit exists, if the kit does.
func checkKit(program string) error {
	if _, err := os.Stat(kitPrefix); errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	_, err := os.Stat(program)
	return err
}
