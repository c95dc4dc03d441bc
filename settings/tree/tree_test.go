package tree_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"egrettack.example/settings/document"
	"egrettack.example/settings/tree"
)

// files of a small tree without errors.
func files() map[string]string {
	return map[string]string{
		"root": `{"level": "root",
"domains": {
  "north": {"number": 1, "region": "west"},
  "south": {"number": 2, "region": "west"},
},
"work": {"deadline": "2s"}}`,
		"west": `{"level": "district",
"work": {
  "idle": "1h",
}}`,
		"west/register": `{"level": "service",
"number": 7,
"work": {"occupies": "slot"},
"host": {"slots": 3}}`,
		"west/register/feed": `{"level": "kind", "number": 1,
"addresses": ["10.9.0.1:7001/tcp"],
"work": {
  "occupies": "connection",
  "share": 0.5,
}}`,
		"west/register/lookup": `{"level": "kind", "number": 2,
"addresses": [
  "10.9.0.1:7002/tcp",
  "10.9.0.1:7002/udp",
],
"work": {
  "share": 0.6,
  "idempotent": true,
}}`,
		"west/intake": `{"level": "service", "number": 8}`,
		"west/intake/upload": `{"level": "kind", "number": 1,
"addresses": ["10.9.0.2:7003/tcp"]}`,
	}
}

func sources(texts map[string]string) (out []tree.Source) {
	for path, text := range texts {
		out = append(out, tree.Source{Path: path, File: path, Text: text})
	}
	return out
}

// Guards against a tree that is refused without an error in it, and against
// other results from a directory than from published values.
func TestGood(t *testing.T) {
	parsed, problems := tree.Parse(sources(files()))
	if err := problems.Err(); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for path, text := range files() {
		file := filepath.Join(dir, path+tree.Extension)
		os.MkdirAll(filepath.Dir(file), 0o700)
		os.WriteFile(file, []byte(text), 0o600)
	}
	os.WriteFile(filepath.Join(dir, "README.md"), []byte("not a node"), 0o600)
	os.Mkdir(filepath.Join(dir, ".git"), 0o700)
	os.WriteFile(filepath.Join(dir, ".git", "x.jsonc"), []byte("not a node"), 0o600)
	loaded, err := tree.Load(dir)
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(filepath.Join(dir, "west", "intake.json"), []byte("{}"), 0o600)
	if _, err := tree.Load(dir); err == nil || !strings.Contains(err.Error(), "west/intake.json:1: .: bad file name") {
		t.Errorf("a JSON file with another extension gives %v", err)
	}
	if d := tree.Diff(parsed, loaded); len(d) > 0 {
		t.Errorf("the directory differs from the same texts: %v", d)
	}
	if file := loaded.Node("west/register").Doc.File; file != "west/register.jsonc" {
		t.Errorf("the file is %q", file)
	}
}

// Guards against an effective value with a wrong origin.
func TestExplain(t *testing.T) {
	parsed, _ := tree.Parse(sources(files()))
	got := make(map[string]string)
	for _, e := range parsed.Node("west/register/lookup").Explain() {
		got[e.Field] = e.Value + " " + e.Origin.String()
	}
	for _, e := range parsed.Node("west/register").Explain() {
		got["service "+e.Field] = e.Value + " " + e.Origin.String()
	}
	for field, want := range map[string]string{
		"work.share":            "0.6 west/register/lookup:7",
		"work.occupies":         "slot west/register:3",
		"work.idle":             "1h0m0s west:3",
		"work.deadline":         "2s root:6",
		"work.class":            "1 default",
		"number":                "2 west/register/lookup:1",
		"addresses":             "10.9.0.1:7002/tcp 10.9.0.1:7002/udp west/register/lookup:2",
		"service host.slots":    "3 west/register:4",
		"service host.queue":    "4 default",
		"service host.capacity": "slots default",
	} {
		if got[field] != want {
			t.Errorf("%s is %q, want %q", field, got[field], want)
		}
	}
}

// Guards against a difference that is not shown, and against one that is
// shown though the value in force is the same.
func TestDiff(t *testing.T) {
	a, _ := tree.Parse(sources(files()))
	changed := files()
	changed["west"] = strings.Replace(changed["west"], "1h", "60m", 1)                 // written in another way only
	changed["west/intake"] = `{"level": "service", "number": 8, "host": {"queue": 9}}` // one field
	delete(changed, "west/register/feed")
	b, _ := tree.Parse(sources(changed))
	var got []string
	removed := 0
	for _, c := range tree.Diff(a, b) {
		if c.New == nil {
			removed++
			continue
		}
		got = append(got, c.Node+" "+c.Field+" "+c.Old.Value+" "+c.New.Value)
	}
	if len(got) != 1 || got[0] != "west/intake host.queue 4 9" || removed != 10 {
		t.Errorf("differences are %v and %d removed, want the queue and 10 removed", got, removed)
	}
}

// Guards against an error that is not found, or that names the wrong place.
func TestErrors(t *testing.T) {
	for _, c := range []struct {
		name            string
		path, old, text string // old "" replaces the whole node, text "-" removes it
		want            string // start of the only error
	}{
		{"unknown field", "west", `"idle"`, `"idel"`, `west:3: work.idel: unknown field; known are class, share`},
		{"host in a kind", "west/intake/upload", `"number"`, `"host": {}, "number"`, `west/intake/upload:1: host: unknown field`},
		{"wrong unit", "west", `"1h"`, `3600`, `west:3: work.idle: wrong unit: a duration is text with its unit`},
		{"share with a unit", "west/register/feed", `0.5`, `"50%"`, `west/register/feed:5: work.share: wrong unit: expected a number (part from 0 to 1), found "50%"`},
		{"share over 1", "west/register/feed", `0.5`, `1.5`, `west/register/feed:5: work.share: 1.5 is above the largest value 1`},
		{"negative count", "west/register", `3}`, `-3}`, `west/register:4: host.slots: -3 is below the least value 0`},
		{"unknown word", "west/register/feed", `"connection"`, `"place"`, `west/register/feed:4: work.occupies: "place" is not one of slot, connection`},
		{"overlapping address", "west/intake/upload", `10.9.0.2:7003`, `10.9.0.1:7001`, `west/register/feed:2: addresses[0]: overlapping address: 10.9.0.1:7001/tcp is already used by west/intake/upload (west/intake/upload:2)`},
		{"address twice in a kind", "west/register/lookup", `7002/udp`, `7002/tcp`, `west/register/lookup:4: addresses[1]: overlapping address: 10.9.0.1:7002/tcp is already used by west/register/lookup (west/register/lookup:3)`},
		{"impossible share of connections", "west/register/lookup", `"share": 0.6,`, `"share": 0.6, "occupies": "connection",`, `west/register/lookup:7: work.share: impossible share: the guaranteed shares of kinds that occupy a connection in west/register sum to 1.1, over 1: feed 0.5 (west/register/feed:5), lookup 0.6 (west/register/lookup:7)`},
		{"impossible share of slots", "west/register/feed", `"connection"`, `"slot"`, `west/register/lookup:7: work.share: impossible share: the guaranteed shares of kinds that occupy a slot`},
		{"impossible inherited share", "west/register", `"slot"`, `"connection", "share": 0.6`, `west/register/lookup:7: work.share: impossible share`},
		{"ceiling below share", "west/register/feed", `"share": 0.5`, `"share": 0.5, "ceiling": 0.4`, `west/register/feed:5: work.ceiling: ceiling below share: west/register/feed has ceiling 0.4 (west/register/feed:5) and share 0.5 (west/register/feed:5)`},
		{"ceiling above in the tree", "west", `"idle"`, `"ceiling": 0.55, "idle"`, `west/register/lookup:7: work.share: ceiling below share: west/register/lookup has ceiling 0.55 (west:3)`},
		{"UDP with idempotent false", "west/register/lookup", `"idempotent": true`, `"idempotent": false`, `west/register/lookup:4: addresses[1]: UDP with idempotent false (west/register/lookup:8): a datagram has no connection`},
		{"UDP without idempotent", "west/register/lookup", `"idempotent": true,`, ``, `west/register/lookup:4: addresses[1]: UDP with idempotent false (default)`},
		{"service number twice", "west/register", `7`, `8`, `west/register:2: number: service number 8 is already used by west/intake (west/intake:1)`},
		{"kind number twice", "west/register/lookup", `2`, `1`, `west/register/lookup:1: number: kind number 1 is already used by west/register/feed (west/register/feed:1)`},
		{"domain number twice", "root", `2`, `1`, `root:4: domains.south.number: domain number 1 is already used by north`},
		{"domain name", "root", `"south"`, `"South.1"`, `root:4: domains.South.1: bad name "South.1"`},
		{"domain without region", "root", `, "region": "west"`, ``, `root:3: domains.north.region: missing value`},
		{"no domain", "root", "", `{"level": "root", "domains": {}}`, `root:1: domains: missing value: at least one domain`},
		{"service number over 24 bits", "west/register", `7`, `16777216`, `west/register:2: number: 16777216 is above the largest value 16777215`},
		{"kind number over 8 bits", "west/register/lookup", `2`, `300`, `west/register/lookup:1: number: expected an integer from 0 (kind number), found 300`},
		{"no address", "west/intake/upload", `"10.9.0.2:7003/tcp"`, ``, `west/intake/upload:2: addresses: missing value: at least one address`},
		{"missing addresses", "west/intake/upload", "", `{"level": "kind", "number": 1}`, `west/intake/upload:1: addresses: missing value`},
		{"address without protocol", "west/intake/upload", `7003/tcp`, `7003`, `west/intake/upload:2: addresses[0]: bad address: "10.9.0.2:7003" does not end in /tcp or /udp`},
		{"IPv6 address", "west/intake/upload", `10.9.0.2:7003`, `[::1]:7003`, `west/intake/upload:2: addresses[0]: bad address: "[::1]:7003/tcp" is not an IPv4 address`},
		{"value over 1 MB", "west", "{", "{" + strings.Repeat(" ", 1<<20), `west:1: .: 1048626 bytes are over the limit of 1048576 bytes for one value`},
		{"no level", "west/intake", "", `{"number": 8}`, `west/intake:1: level: missing value`},
		{"wrong level", "west/intake", "", `{"level": "town"}`, `west/intake:1: level: "town" is not one of root, district, service, kind`},
		{"second root", "west/intake", "", `{"level": "root", "domains": {"a": {"number": 3, "region": "b"}}}`, `west/intake:1: level: level "root" is wrong here`},
		{"kind below a district", "west/upload", "", `{"level": "kind", "number": 1, "addresses": ["10.9.0.9:1/tcp"]}`, `west/upload:1: level: a kind is below a service, but "west" is a district`},
		{"service below the root", "east", "", `{"level": "service", "number": 9}`, `east:1: level: a service is below a district, but "root" is a root`},
		{"node without a parent", "north/ship", "", `{"level": "service", "number": 9}`, `north/ship:1: .: missing value: there is no node "north" above`},
		{"bad name", "West", "", `{"level": "district"}`, `West:1: .: bad path "West"`},
		{"no root", "root", "", "-", `root:1: .: missing value: there is no root node`},
		{"syntax", "root", `"west"}`, `"west"`, `root:6: .: syntax: `},
	} {
		texts := files()
		switch {
		case c.text == "-":
			delete(texts, c.path)
		case c.old == "":
			texts[c.path] = c.text
		default:
			texts[c.path] = strings.Replace(texts[c.path], c.old, c.text, 1)
		}
		_, problems := tree.Parse(sources(texts))
		problems.Err() // sorts
		if len(problems) == 0 || !strings.HasPrefix(problems[0].Error(), c.want) || len(problems) != 1 {
			t.Errorf("%s:\n got %v\nwant %s", c.name, problems, c.want)
		}
	}
}

// Guards against reports that stop at the first error or the first file.
func TestAllErrors(t *testing.T) {
	texts := files()
	texts["west"] = `{"level": "district", "wrok": {}, "work": {"class": 99, "idle": 5}}`
	texts["west/intake/upload"] = `{"level": "kind", "number": 1, "addresses": ["10.9.0.1:7002/udp", "x"]}`
	_, problems := tree.Parse(sources(texts))
	got := make(map[string]int)
	for _, p := range problems {
		got[p.File+" "+p.Path]++
	}
	for _, want := range []string{
		"west wrok", "west work.class", "west work.idle", "west/intake/upload addresses[1]",
		"west/intake/upload addresses[0]", "west/register/lookup addresses[1]",
	} {
		if got[want] != 1 {
			t.Errorf("%d errors at %s, want 1", got[want], want)
		}
	}
	if len(problems) != 6 {
		t.Errorf("%d errors, want 6: %v", len(problems), document.Problems(problems))
	}
}
