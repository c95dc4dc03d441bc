// Package edge owns the settings file of one instance with affinity by token.
package edge

import (
	"net/netip"
	"time"

	"egrettack.example/settings/document"
)

// Settings are the settings of one instance.
type Settings struct {
	Name          string         `json:"name" required:"true"`
	Domain        string         `json:"domain" required:"true"`
	Packets       netip.AddrPort `json:"packets" required:"true" unit:"address:port, UDP"`
	Health        netip.AddrPort `json:"health" required:"true" unit:"address:port, TCP"`
	InternalPorts []int          `json:"internal_ports" required:"true" min:"1" max:"65535" unit:"first and last port"`
	// Seeds are other instances; only their addresses count, since all
	// instances use the same internal ports.
	Seeds []netip.AddrPort `json:"seeds" unit:"address:port"`
	Store netip.AddrPort   `json:"store" required:"true" unit:"address:port, TCP"`
	// LinkMbps is the bandwidth of the instance's network link.
	LinkMbps    float64           `json:"link_mbps" default:"1000" min:"0.1" max:"1000000" unit:"Mbit/s"`
	MetricsPort int               `json:"metrics_port" default:"0" min:"0" max:"65535" unit:"port, 0 for none"`
	StopGrace   document.Duration `json:"stop_grace" default:"6s" min:"1s" max:"1h" unit:"us, ms, s, m, h"`
	// ApplyWithin is the time within which a change has to be in force.
	ApplyWithin document.Duration `json:"apply_within" default:"3s" min:"500ms" max:"1h" unit:"us, ms, s, m, h"`
	// DrainWithin is the time within which a backend server that leaves has to be
	// out of use for new flows.
	DrainWithin document.Duration `json:"drain_within" default:"3s" min:"500ms" max:"1h" unit:"us, ms, s, m, h"`
	// EvacuateWithin is the time within which an evacuation has to be in force, 0 if there
	// are none.
	EvacuateWithin document.Duration `json:"evacuate_within" default:"0s" min:"0s" max:"1h" unit:"us, ms, s, m, h"`
	// ProcessorWait is the longest time for which a SYN waits while the processor is short,
	// 0 if packets are handled in the order of their arrival.
	ProcessorWait document.Duration `json:"processor_wait" default:"0s" min:"0s" max:"25ms" unit:"us, ms, s, m, h"`
	// Hedging limits second SYNs of flows that are slow to open.
	Hedging Hedging `json:"hedging"`
	// UnevenSpeeds: the servers of a service differ in speed, and new flows go by it.
	UnevenSpeeds bool   `json:"uneven_speeds" default:"false"`
	LogLevel     string `json:"log_level" default:"info" oneof:"debug info warn error"`
	// Shares are the shares of kinds of request; kinds without one have none
	// guaranteed, and may take all that is free.
	Shares []Share `json:"shares"`
	// ShareProblems are the errors in shares, which is empty then: the other settings
	// hold without them.
	ShareProblems document.Problems `json:"-"`
}

// Hedging limits extra work on the backend servers for requests that may be repeated.
type Hedging struct {
	// MaxShare is the largest share of second SYNs in the openings of the instance.
	MaxShare float64 `json:"max_share" default:"0" min:"0" max:"0.5" unit:"part of openings"`
}

// CurrentWithin returns the age that what an instance knows may have: the
// shorter of the times within which something has to be in force.
func (s *Settings) CurrentWithin() time.Duration {
	within := min(s.ApplyWithin.Duration, s.DrainWithin.Duration)
	if s.EvacuateWithin.Duration > 0 {
		within = min(within, s.EvacuateWithin.Duration)
	}
	return within
}

// minEvacuateWithin is the lower limit of the other times within which changes are in force.
const minEvacuateWithin = 500 * time.Millisecond

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
	problems = append(problems, checkShares(doc, s.Shares)...)
	problems, s.ShareProblems = splitShareProblems(problems)
	if s.ShareProblems != nil {
		s.Shares = nil
	}
	if doc.Has("internal_ports") && (len(s.InternalPorts) != 2 || s.InternalPorts[0] >= s.InternalPorts[1]) {
		problems = append(problems, doc.Problem("internal_ports", "a first and a larger last port are needed"))
	}
	if d := s.EvacuateWithin.Duration; d > 0 && d < minEvacuateWithin {
		problems = append(problems, doc.Problem("evacuate_within", "0 or at least 500ms is needed"))
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}
