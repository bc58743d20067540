package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCheckFolder(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for folder, want := range map[string]string{dir: "", file: "x.dir: " + file + " is no folder", dir + "/nowhere": "x.dir: stat "} {
		if err := CheckFolder("x.dir", folder); want == "" && err != nil || want != "" && (err == nil || !strings.HasPrefix(err.Error(), want)) {
			t.Errorf("%s: %v, want %q", folder, err, want)
		}
	}
}
