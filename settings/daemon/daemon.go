// Package daemon owns the settings file of one instance.
package daemon

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"

	"egrettack.example/core/snapshot"
	"egrettack.example/settings/document"
)

// Settings are the daemon's own settings.
type Settings struct {
	ID            snapshot.InstanceID `json:"id" required:"true" min:"1" unit:"instance number"`
	Name          string              `json:"name" required:"true"`
	Domain        string              `json:"domain" required:"true"`
	Data          netip.AddrPort      `json:"data" required:"true" unit:"address:port, UDP"`
	Control       netip.AddrPort      `json:"control" required:"true" unit:"address:port, UDP"`
	RPC           netip.AddrPort      `json:"rpc" required:"true" unit:"address:port, TCP"`
	HTTP          netip.AddrPort      `json:"http" required:"true" unit:"address:port, TCP"`
	Egress        netip.AddrPort      `json:"egress" required:"true" unit:"address:port, UDP"`
	Platform      string              `json:"platform" required:"true" unit:"http or https URL"`
	Peers         []netip.AddrPort    `json:"peers" unit:"address:port, TCP"`
	Keys          []Key               `json:"keys" required:"true"`
	Workers       int                 `json:"workers" default:"4" min:"1" max:"256" unit:"goroutines"`
	ControlBudget int                 `json:"control_budget" default:"9000" min:"1000" max:"100000000" unit:"bytes a second"`
	StopTimeout   document.Duration   `json:"stop_timeout" default:"60s" min:"1s" max:"24h" unit:"us, ms, s, m, h"`
	TraceSample   float64             `json:"trace_sample" default:"0.001" min:"0" max:"1" unit:"part of flows"`
	TraceFile     string              `json:"trace_file" default:"" unit:"file path"`
	LogLevel      string              `json:"log_level" default:"info" oneof:"debug info warn error"`
}

// Key is one shared key of all instances.
type Key struct {
	ID     uint8  `json:"id" required:"true" min:"1" unit:"key number"`
	Secret Secret `json:"secret" required:"true" unit:"64 hex digits"`
}

// Secret is the secret part of a key. It prints as a placeholder, so that no
// log line shows it.
type Secret [32]byte

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Secret) UnmarshalText(text []byte) error {
	// The text is not repeated in the error, since errors are logged.
	if len(text) != 2*len(s) {
		return fmt.Errorf("a secret has %d hex digits, found %d characters", 2*len(s), len(text))
	}
	if _, err := hex.Decode(s[:], text); err != nil {
		return fmt.Errorf("a secret has hex digits only")
	}
	return nil
}

func (s Secret) String() string { return "secret" }

// GoString keeps %#v from showing the secret.
func (s Secret) GoString() string { return "secret" }

// MarshalText keeps encoders from showing the secret.
func (s Secret) MarshalText() ([]byte, error) { return []byte("secret"), nil }

// Load reads and checks the settings file. The error holds a
// document.Problems when the text is wrong.
func Load(path string) (*Settings, error) { return document.Load(path, Parse) }

// Parse reads settings from text. file stands in errors only.
func Parse(file string, text []byte) (*Settings, error) {
	doc, problems := document.Parse(file, text)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	var s Settings
	problems = doc.Decode(&s)
	problems = append(problems, s.check(doc)...)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

func (s *Settings) check(doc *document.Document) (problems document.Problems) {
	if u, err := url.Parse(s.Platform); doc.Has("platform") && s.Platform != "" &&
		(err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "") {
		problems = append(problems, doc.Problem("platform",
			`bad address: %q is not an http or https URL, as in "http://10.0.0.1:8000"`, s.Platform))
	}
	if doc.Has("keys") && s.Keys != nil && len(s.Keys) == 0 {
		problems = append(problems, doc.Problem("keys", "missing value: at least one key is needed"))
	}
	seen := make(map[uint8]bool)
	for i, k := range s.Keys {
		if seen[k.ID] && k.ID != 0 {
			problems = append(problems, doc.Problem(fmt.Sprintf("keys[%d].id", i), "key number %d is used twice", k.ID))
		}
		seen[k.ID] = true
	}
	return problems
}
