package source

import (
	"encoding/base64"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

const goodSettings = `source:
  name: b
  listen: 10.1.0.2:7100
  members:
    - {name: a, address: "10.1.0.1:7100"}
    - {name: b, address: "10.1.0.2:7100"}
    - {name: c, address: "10.1.0.3:7100"}
  dir: data
  cluster: fleet
  key_file: key
  max_followers: 40
  round_trip_ms: 80
  heartbeat_ms: 500
`

func TestSettings(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "source.yaml")
	load := func(text string) (Config, error) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return Load(path)
	}
	key := strings.Repeat("k", 32)
	if err := os.WriteFile(filepath.Join(dir, "key"), []byte(base64.StdEncoding.EncodeToString([]byte(key))), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := load(goodSettings)
	want := Config{Name: "b", Listen: "10.1.0.2:7100", Members: []Member{{"a", "10.1.0.1:7100"}, {"b", "10.1.0.2:7100"}, {"c", "10.1.0.3:7100"}},
		Dir: filepath.Join(dir, "data"), Cluster: "fleet", Keys: [][]byte{[]byte(key)}, MaxFollowers: 40, RoundTrip: 80 * time.Millisecond,
		Heartbeat: 500 * time.Millisecond}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v, %v", got, err)
	}
	for why, c := range map[string]struct{ before, after, names string }{
		"no name":              {"  name: b\n", "", "source.name"},
		"no folder":            {"  dir: data\n", "", "source.dir"},
		"an unknown key":       {"  dir: data\n", "  dir: data\n  dirs: data\n", "source.dirs"},
		"an unknown section":   {"source:", "sources: {}\nsource:", "sources"},
		"no section":           {goodSettings, "{}", "source"},
		"two members":          {"    - {name: a, address: \"10.1.0.1:7100\"}\n", "", "source.members"},
		"a member's key":       {"{name: a, ", "{name: a, port: 1, ", "source.members[0].port"},
		"a nameless member":    {"{name: a, ", "{", "source.members[0].name"},
		"a member twice":       {"{name: a, ", "{name: c, ", "source.members"},
		"not among them":       {"  name: b\n", "  name: d\n", "source.members"},
		"a bad address":        {"10.1.0.3:7100", "here", "source.members[2].address"},
		"a machine for all":    {"10.1.0.3:7100", "0.0.0.0:7100", "source.members[2].address"},
		"no port":              {"listen: 10.1.0.2:7100", "listen: 10.1.0.2:0", "source.listen"},
		"no key":               {"  key_file: key\n", "", "source.listen"},
		"another key file":     {"  key_file: key\n", "  key_file: no-key\n", "source.key_file"},
		"a round trip of 0":    {"round_trip_ms: 80", "round_trip_ms: 0", "source.round_trip_ms"},
		"a long heartbeat":     {"heartbeat_ms: 500", "heartbeat_ms: 60000", "source.heartbeat_ms"},
		"followers in words":   {"max_followers: 40", "max_followers: many", "source.max_followers"},
		"members that are one": {"  members:\n", "  members: a\n  other:\n", "source.members"},
	} {
		if _, err := load(strings.Replace(goodSettings, c.before, c.after, 1)); err == nil || !strings.Contains(err.Error(), path+": "+c.names) {
			t.Errorf("%s: %v", why, err)
		}
	}
	here := strings.ReplaceAll(strings.Replace(goodSettings, "  key_file: key\n", "", 1), "10.1.0.", "127.0.0.")
	if _, err := load(here); err != nil {
		t.Errorf("on one machine without a key: %v", err)
	}
}
