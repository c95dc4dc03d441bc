package web

import (
	"time"

	"egrettack.example/core/engine"
	"egrettack.example/core/group"
	"egrettack.example/core/snapshot"
)

// page is the JSON of /status: the engine's status with names in place of
// numbers that only the program knows.
type page struct {
	Instance snapshot.InstanceID `json:"instance"`
	Name     string              `json:"name"`
	State    string              `json:"state"`
	Stale    bool                `json:"stale"`
	Version  snapshot.Version    `json:"version"`
	Peers    []peer              `json:"peers"`
	Groups   []hostGroup         `json:"groups"`
}

type peer struct {
	Instance snapshot.InstanceID `json:"instance"`
	State    string              `json:"state"`
	Version  snapshot.Version    `json:"version"`
	Heard    string              `json:"heard,omitempty"` // time since the last heartbeat
}

type hostGroup struct {
	Group   string `json:"group"`
	Role    string `json:"role"`
	Epoch   uint64 `json:"epoch"`
	Flows   int    `json:"flows"`
	Backlog int    `json:"backlog"`
	Copies  int    `json:"copies"`
	Hosts   []host `json:"hosts"`
}

type host struct {
	Host        snapshot.HostID `json:"host"`
	Connections int             `json:"connections"`
	Slots       int             `json:"slots"`
	Weight      float64         `json:"weight"`
	Usable      bool            `json:"usable"`
	Why         string          `json:"why,omitempty"`
}

func newPage(name string, s engine.Status) page {
	p := page{
		Instance: s.Self, Name: name, State: s.State.String(), Stale: s.Stale, Version: s.Version,
		Peers: make([]peer, len(s.Peers)), Groups: make([]hostGroup, len(s.Groups)),
	}
	for i, o := range s.Peers {
		p.Peers[i] = peer{Instance: o.Instance, State: o.State.String(), Version: o.Version, Heard: since(o.HeartbeatAge)}
	}
	for i, g := range s.Groups {
		p.Groups[i] = hostGroup{
			Group: g.Group.String(), Role: g.Role, Epoch: g.Epoch, Copies: g.CopiesHeld,
			Flows: g.Stats.Flows, Backlog: g.Stats.Backlog, Hosts: make([]host, len(g.Stats.Hosts)),
		}
		for j, h := range g.Stats.Hosts {
			p.Groups[i].Hosts[j] = newHost(h)
		}
	}
	return p
}

// since is empty for a peer that was never heard.
func since(d time.Duration) string {
	if d < 0 {
		return ""
	}
	return d.Round(time.Millisecond).String()
}

func newHost(h group.HostStats) host {
	return host{Host: h.Host, Connections: h.Connections, Slots: h.Slots, Weight: h.Weight, Usable: h.Usable, Why: h.Why}
}
