package published_test

import (
	"encoding/json"
	"testing"

	"egrettack.example/settings/daemon"
	"egrettack.example/settings/document"
	"egrettack.example/settings/published"
	"egrettack.example/settings/tree"
)

// roundTrip decodes a text as T. When it is valid, its encoding must be valid
// too and give the same encoding again.
func roundTrip[T any](t *testing.T, text []byte) {
	doc, problems := document.Parse("fuzz", text)
	if len(problems) > 0 {
		return
	}
	var first, second T
	if len(doc.Decode(&first)) > 0 {
		return
	}
	encoded, err := json.Marshal(first)
	if err != nil {
		t.Fatalf("encoding %+v: %v", first, err)
	}
	doc, problems = document.Parse("encoded", encoded)
	if len(problems) == 0 {
		problems = doc.Decode(&second)
	}
	if len(problems) > 0 {
		t.Fatalf("%s is refused: %v", encoded, problems)
	}
	if again, _ := json.Marshal(second); string(again) != string(encoded) {
		t.Fatalf("%s became %s", encoded, again)
	}
}

// Guards against input that makes a reader panic, and against valid input
// that the readers lose part of.
func FuzzRead(f *testing.F) {
	for _, text := range small().Values {
		f.Add([]byte(text))
	}
	f.Add([]byte(`{"id": 1, "keys": [{"id": 1, "secret": "00"}], "stop_timeout": "1m30s", "trace_sample": 1e-3}`))
	f.Add([]byte(`{"level": "kind", "number": 255, "addresses": ["10.0.0.1:1/udp"], "work": {"share": 0.1, "idle": "-1.5h"}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		roundTrip[tree.Root](t, text)
		roundTrip[tree.District](t, text)
		roundTrip[tree.Service](t, text)
		roundTrip[tree.Kind](t, text)
		roundTrip[published.HostList](t, text)
		roundTrip[published.InstanceList](t, text)
		daemon.Parse("fuzz", text)
		for key := range small().Values {
			v := small()
			v.Values[key] = string(text)
			if s, err := published.Build(v, nil); (s == nil) == (err == nil) {
				t.Fatalf("%s: snapshot %v, error %v", key, s, err)
			}
		}
	})
}
