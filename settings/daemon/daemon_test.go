package daemon_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"egrettack.example/settings/daemon"
	"egrettack.example/settings/document"
)

const secret = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

const good = `{
  "id": 1, "name": "n1",
  "domain": "north", // as in the root of the tree
  "data": "127.0.0.1:6001",
  "control": "127.0.0.1:6002",
  "rpc": "127.0.0.1:6003",
  "http": "127.0.0.1:6004",
  "egress": "127.0.0.1:7000",
  "platform": "http://127.0.0.1:8000",
  "keys": [{"id": 1, "secret": "` + secret + `"}],
  "workers": 2,
  "stop_timeout": "90s",
}`

// Guards against values or defaults that are lost between file and settings.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n1.jsonc")
	if err := os.WriteFile(path, []byte(good), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := daemon.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := daemon.Parse("f", []byte(good+" // no line break")); err != nil {
		t.Errorf("a comment in the last line gives %v", err)
	}
	if s.ID != 1 || s.Domain != "north" || s.RPC.Port() != 6003 || s.Workers != 2 || s.StopTimeout.Duration != 90*time.Second ||
		s.ControlBudget != 9000 || s.TraceSample != 0.001 || s.LogLevel != "info" || s.Keys[0].Secret[31] != 0xff {
		t.Errorf("settings are %+v", s)
	}
	if text := fmt.Sprintf("%v %+v %#v", s, s, s); strings.Contains(text, secret) || strings.Contains(text, "0x11, 0x22") {
		t.Errorf("the secret is printed: %s", text)
	}
	if _, err := daemon.Load(path + ".missing"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a missing file gives %v", err)
	}
}

// Guards against an error that is not found, or that names the wrong place.
func TestErrors(t *testing.T) {
	replace := func(old, text string) string { return strings.Replace(good, old, text, 1) }
	for _, c := range []struct {
		name, text string
		want       string // start of the only error
	}{
		{"unknown field", replace(`"workers": 2`, `"worker": 2`), `f:11: worker: unknown field; known are id,`},
		{"duration without unit", replace(`"90s"`, `90`), `f:12: stop_timeout: wrong unit: a duration is text with its unit`},
		{"duration with a wrong unit", replace(`"90s"`, `"90 sec"`), `f:12: stop_timeout: wrong unit: "90 sec" is not a duration`},
		{"duration below the least", replace(`"90s"`, `"0s"`), `f:12: stop_timeout: 0s is below the least value 1s`},
		{"number with a unit", replace(`2,`, `"2 threads",`), `f:11: workers: wrong unit: expected an integer (goroutines), found "2 threads"`},
		{"fraction for an integer", replace(`2,`, `2.5,`), `f:11: workers: expected an integer (goroutines), found 2.5`},
		{"number over the limit", replace(`2,`, `999,`), `f:11: workers: 999 is above the largest value 256`},
		{"null", replace(`2,`, `null,`), `f:11: workers: expected an integer (goroutines), found null`},
		{"missing value", replace(`"domain": "north",`, ``), `f:1: domain: missing value`},
		{"empty text", replace(`"north"`, `""`), `f:3: domain: missing value: the text is empty`},
		{"address without port", replace(`"127.0.0.1:6001"`, `"127.0.0.1"`), `f:4: data: bad address: "127.0.0.1" is not an IP address with a port`},
		{"address with a name", replace(`"127.0.0.1:6002"`, `"localhost:6002"`), `f:5: control: bad address: "localhost:6002"`},
		{"address that is no text", replace(`"127.0.0.1:6002"`, `6002`), `f:5: control: expected text, found 6002`},
		{"platform without scheme", replace(`"http://127.0.0.1:8000"`, `"127.0.0.1:8000"`), `f:9: platform: bad address: "127.0.0.1:8000" is not an http`},
		{"no keys", replace(`[{"id": 1, "secret": "`+secret+`"}]`, `[]`), `f:10: keys: missing value: at least one key`},
		{"short secret", replace(secret, "abcd"), `f:10: keys[0].secret: a secret has 64 hex digits, found 4 characters`},
		{"secret that is not hex", replace(secret, strings.Repeat("x", 64)), `f:10: keys[0].secret: a secret has hex digits only`},
		{"key without a number", replace(`{"id": 1, "secret"`, `{"secret"`), `f:10: keys[0].id: missing value`},
		{"key twice", replace(`[{`, `[{"id": 1, "secret": "`+secret+`"}, {`), `f:10: keys[1].id: key number 1 is used twice`},
		{"word", replace(`"workers": 2`, `"log_level": "loud"`), `f:11: log_level: "loud" is not one of debug, info, warn, error`},
		{"field twice", replace(`"workers": 2`, `"name": "n2"`), `f:11: name: given twice`},
		{"object for a list", replace(`[{"id": 1, "secret": "`+secret+`"}]`, `{}`), `f:10: keys: expected a list, found an object`},
		{"list for an object", "\n[]", `f:2: .: expected an object, found a list`},
		{"syntax", replace(`"domain": "north",`, `"domain": north,`), `f:3: .: syntax: `},
		{"empty", "", `f:1: .: syntax: `},
		{"too deep", strings.Repeat("[\n", 300), `f:201: .: nested deeper than 200 levels`},
		{"too long", strings.Repeat(" ", 1<<20) + "{}", `f:1: .: 1048578 bytes are over the limit of 1048576 bytes`},
	} {
		_, err := daemon.Parse("f", []byte(c.text))
		var problems document.Problems
		if !errors.As(err, &problems) || len(problems) != 1 || !strings.HasPrefix(problems[0].Error(), c.want) {
			t.Errorf("%s:\n got %v\nwant %s", c.name, err, c.want)
		}
	}
}

// Guards against reports that stop at the first error.
func TestAllErrors(t *testing.T) {
	text := strings.NewReplacer(`"127.0.0.1:6001"`, `1`, `"90s"`, `5`, `"workers"`, `"threads"`).Replace(good)
	_, err := daemon.Parse("f", []byte(text))
	var problems document.Problems
	if !errors.As(err, &problems) || len(problems) != 3 || problems[0].Line != 4 || problems[1].Line != 11 || problems[2].Line != 12 {
		t.Errorf("got %v, want errors in lines 4, 11 and 12", err)
	}
}

// Guards against keys that the command line reads in another way than the
// settings file.
func TestKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(path, []byte(`{"id": 7, "secret": "`+secret+`"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	a, err := daemon.LoadKey(path)
	if err != nil {
		t.Fatal(err)
	}
	b, err := daemon.ParseKey("7:" + secret)
	if err != nil || a != b {
		t.Errorf("keys differ: %v", err)
	}
	for _, text := range []string{"", secret, "0:" + secret, "256:" + secret, "7:12", "x:" + secret} {
		if _, err := daemon.ParseKey(text); err == nil || strings.Contains(err.Error(), secret) {
			t.Errorf("key %q gives %v", text, err)
		}
	}
}
