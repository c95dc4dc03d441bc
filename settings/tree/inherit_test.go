package tree_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"egrettack.example/settings/tree"
)

// Guards against a field that is resolved to another node than the nearest
// that gives it, at any depth and with any set of fields given.
func TestInheritNearest(t *testing.T) {
	values := map[string][]string{
		"class": {"0", "3"}, "ceiling": {"0.5", "1"}, "idempotent": {"true", "false"},
		"deadline": {`"1s"`, `"3s"`}, "occupies": {`"slot"`, `"connection"`},
	}
	defaults := map[string]string{"class": "1", "ceiling": "1", "idempotent": "false", "deadline": "1s", "occupies": "connection"}
	rapid.Check(t, func(t *rapid.T) {
		depth := rapid.IntRange(1, 5).Draw(t, "districts")
		paths := []string{"root"}
		path := ""
		for i := range depth + 2 { // districts, service, kind
			path += fmt.Sprintf("/n%d", i)
			paths = append(paths, path[1:])
		}
		want := make(map[string]string, len(defaults))
		for f, v := range defaults {
			want[f] = v + " default"
		}
		var sources []tree.Source
		for i, p := range paths {
			lines := []string{"{" + head(i, len(paths)) + `, "work": {`}
			for _, f := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"class", "ceiling", "idempotent", "deadline", "occupies"}),
				func(s string) string { return s }).Draw(t, "fields of "+p) {
				v := rapid.SampledFrom(values[f]).Draw(t, f)
				lines = append(lines, fmt.Sprintf(`"%s": %s,`, f, v))
				want[f] = fmt.Sprintf("%s %s:%d", strings.Trim(v, `"`), p, len(lines))
			}
			text := strings.Join(append(lines, "}}"), "\n")
			sources = append(sources, tree.Source{Path: p, File: p, Text: text})
		}
		parsed, problems := tree.Parse(rapid.Permutation(sources).Draw(t, "order"))
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		for _, e := range parsed.Node(paths[len(paths)-1]).Explain() {
			field := strings.TrimPrefix(e.Field, "work.")
			if got := e.Value + " " + e.Origin.String(); want[field] != "" && got != want[field] {
				t.Fatalf("%s is %q, want %q", field, got, want[field])
			}
		}
	})
}

func head(i, n int) string {
	switch i {
	case 0:
		return `"level": "root", "domains": {"a": {"number": 1, "region": "r"}}`
	case n - 1:
		return `"level": "kind", "number": 1, "addresses": ["10.0.0.1:1/tcp"]`
	case n - 2:
		return `"level": "service", "number": 1`
	}
	return `"level": "district"`
}
