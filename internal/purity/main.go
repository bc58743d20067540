// Purity checks that the decision packages have no side effects: policy and all packages below core, with what they import
// from this and other modules except the standard library. They receive time, randomness and events from their callers, so
// that a run can be replayed. It inspects the code that is built, not tests, and does not look into the standard library.
package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

func main() {
	breaches, looked, err := check(".", "laddertide/policy", "laddertide/core/...")
	if err != nil {
		fmt.Fprintln(os.Stderr, "purity:", err)
		os.Exit(1)
	}
	walls, daemon, err := checkDates(".", "laddertide/cmd/laddertide")
	if err != nil {
		fmt.Fprintln(os.Stderr, "purity:", err)
		os.Exit(1)
	}
	for _, b := range slices.Concat(breaches, walls) {
		fmt.Fprintln(os.Stderr, b)
	}
	fmt.Printf("purity: %d packages looked at (%s), %d breaches\n", len(looked), strings.Join(looked, " "), len(breaches))
	fmt.Printf("dates as numbers: %d packages looked at, %d functions may, %d breaches\n", len(daemon), len(mayConvertDates), len(walls))
	if len(breaches)+len(walls) > 0 {
		os.Exit(1)
	}
}

// noImport are the packages, including those below them, that reach outside of the process or provide unseeded randomness.
var noImport = []string{"net", "os", "io/fs", "io/ioutil", "syscall", "golang.org/x/sys", "crypto/rand", "C"}

// noUse are the functions that read a clock or wait for one.
var noUse = map[string][]string{
	"time":    {"Now", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick", "Since", "Until"},
	"context": {"AfterFunc", "WithTimeout", "WithTimeoutCause", "WithDeadline", "WithDeadlineCause"},
}

// seeded are the functions of math/rand that create a source from a seed, or a generator from a source.
var seeded = []string{"New", "NewSource", "NewZipf", "NewPCG", "NewChaCha8"}

// breach is a violation at a line of a file, whose path is relative to the checked folder.
type breach struct {
	file string
	line int
	what string
}

func (b breach) String() string { return fmt.Sprintf("%s:%d: %s", b.file, b.line, b.what) }

// listedPackage is a package as go list prints it.
type listedPackage struct {
	ImportPath, Dir, Export           string
	Standard                          bool
	GoFiles, CgoFiles, IgnoredGoFiles []string
}

// check inspects the packages that the patterns match below dir, and all packages that they import, and returns their paths as looked.
func check(dir string, patterns ...string) (breaches []breach, looked []string, err error) {
	return inspect(dir, (*checker).look, patterns...)
}

// inspect calls look for each package that the patterns match below dir or that those import, except those of the standard library.
func inspect(dir string, look func(*checker, *listedPackage, types.Importer) error, patterns ...string) (breaches []breach, looked []string, err error) {
	cmd := exec.Command("go", append([]string{"list", "-export", "-deps",
		"-json=ImportPath,Dir,Export,Standard,GoFiles,CgoFiles,IgnoredGoFiles"}, patterns...)...)
	cmd.Dir = dir
	out, err := cmd.Output()
	if err != nil {
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			err = fmt.Errorf("go list: %w: %s", err, exit.Stderr)
		}
		return nil, nil, err
	}
	root, err := filepath.Abs(dir)
	if err != nil {
		return nil, nil, err
	}
	c := checker{root: root, fset: token.NewFileSet(), export: map[string]string{}}
	imports := importer.ForCompiler(c.fset, "gc", func(path string) (io.ReadCloser, error) { return os.Open(c.export[path]) })
	// go list -deps prints a package after those that it imports.
	for dec := json.NewDecoder(bytes.NewReader(out)); ; {
		var p listedPackage
		if err := dec.Decode(&p); err == io.EOF {
			break
		} else if err != nil {
			return nil, nil, err
		}
		c.export[p.ImportPath] = p.Export
		if p.Standard {
			continue
		}
		looked = append(looked, p.ImportPath)
		if err := look(&c, &p, imports); err != nil {
			return nil, nil, err
		}
	}
	if len(looked) == 0 {
		return nil, nil, errors.New("no packages to look at")
	}
	slices.SortFunc(c.found, func(a, b breach) int {
		return cmp.Or(cmp.Compare(a.file, b.file), cmp.Compare(a.line, b.line), cmp.Compare(a.what, b.what))
	})
	return c.found, looked, nil
}

type checker struct {
	root   string
	fset   *token.FileSet
	export map[string]string // the file with a package's export data
	found  []breach
}

// add records a breach.
func (c *checker) add(name string, line int, what string) {
	if rel, err := filepath.Rel(c.root, name); err == nil {
		name = rel
	}
	c.found = append(c.found, breach{name, line, what})
}

// look finds the breaches of one package. Names are resolved as the compiler does, so neither the local name of an
// import matters nor whether a function is called or passed as a value.
func (c *checker) look(p *listedPackage, imports types.Importer) error {
	for _, name := range p.IgnoredGoFiles {
		if !strings.HasSuffix(name, "_test.go") {
			c.add(filepath.Join(p.Dir, name), 1, "not built here, so it cannot be looked at")
		}
	}
	files, err := c.parse(p)
	if err != nil {
		return err
	}
	for _, f := range files {
		for _, spec := range f.Imports {
			path, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			if slices.ContainsFunc(noImport, func(no string) bool { return path == no || strings.HasPrefix(path, no+"/") }) {
				c.at(spec.Pos(), "import of "+path)
			}
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if g, ok := n.(*ast.GoStmt); ok {
				c.at(g.Pos(), "go statement")
			}
			return true
		})
	}
	info := types.Info{Uses: map[*ast.Ident]types.Object{}}
	conf := types.Config{Importer: imports, FakeImportC: true}
	if _, err := conf.Check(p.ImportPath, c.fset, files, &info); err != nil {
		return err
	}
	for id, obj := range info.Uses {
		if f, ok := obj.(*types.Func); ok && impure(f) {
			c.at(id.Pos(), "use of "+f.FullName())
		}
	}
	return nil
}

// parse reads the files of a package that are built here.
func (c *checker) parse(p *listedPackage) (files []*ast.File, err error) {
	for _, name := range slices.Concat(p.GoFiles, p.CgoFiles) {
		f, err := parser.ParseFile(c.fset, filepath.Join(p.Dir, name), nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		files = append(files, f)
	}
	return files, nil
}

func (c *checker) at(pos token.Pos, what string) {
	at := c.fset.Position(pos)
	c.add(at.Filename, at.Line, what)
}

// impure reports whether a function reads a clock, waits, starts a goroutine, or uses the global random source.
func impure(f *types.Func) bool {
	if f.FullName() == "(*sync.WaitGroup).Go" {
		return true
	}
	if f.Pkg() == nil || f.Signature().Recv() != nil {
		return false
	}
	switch path := f.Pkg().Path(); path {
	case "math/rand", "math/rand/v2":
		return !slices.Contains(seeded, f.Name())
	default:
		return slices.Contains(noUse[path], f.Name())
	}
}
