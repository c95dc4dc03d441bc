// Package journal logs what changes in the status of an instance: its own
// state, its peers, the groups it owns or backs up, and their hosts. Operators
// see from it when a view changed without reading metrics of that time.
package journal

import (
	"context"
	"log/slog"
	"time"

	"egrettack.example/core/engine"
	"egrettack.example/core/group"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// interval is the time between two looks at the status. Changes that are
// undone within it are not logged, which also bounds the lines of a host that
// changes all the time.
const interval = time.Second

// Journal compares the status with that of the last look.
type Journal struct {
	log    *slog.Logger
	seen   bool
	state  message.State
	stale  bool
	peers  map[snapshot.InstanceID]message.State
	groups map[snapshot.GroupID]groupState
	hosts  map[snapshot.HostID]hostState
}

type groupState struct {
	role  string
	epoch uint64
}

type hostState struct {
	usable bool
	why    string
}

// New returns a journal that writes to log.
func New(log *slog.Logger) *Journal { return &Journal{log: log} }

// Run looks at the status once a second until ctx is done.
func (j *Journal) Run(ctx context.Context, status func() engine.Status) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		j.Compare(status())
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Compare logs how s differs from the status of the last call.
func (j *Journal) Compare(s engine.Status) {
	if !j.seen || s.State != j.state {
		j.log.Info("own state", "state", s.State, "version", s.Version)
	}
	if s.Stale != j.stale {
		j.log.Warn("views", "stale", s.Stale)
	}
	j.seen, j.state, j.stale = true, s.State, s.Stale
	j.comparePeers(s.Peers)
	j.compareGroups(s.Groups)
}

func (j *Journal) comparePeers(peers []engine.PeerStatus) {
	now := make(map[snapshot.InstanceID]message.State, len(peers))
	for _, p := range peers {
		now[p.Instance] = p.State
		if old, ok := j.peers[p.Instance]; !ok || old != p.State {
			j.log.Info("peer", "peer", p.Instance, "state", p.State, "version", p.Version)
		}
	}
	for id := range j.peers {
		if _, ok := now[id]; !ok {
			j.log.Info("peer is no longer known", "peer", id)
		}
	}
	j.peers = now
}

func (j *Journal) compareGroups(groups []engine.GroupStatus) {
	now := make(map[snapshot.GroupID]groupState, len(groups))
	hosts := make(map[snapshot.HostID]hostState)
	for _, g := range groups {
		state := groupState{g.Role, g.Epoch}
		now[g.Group] = state
		if j.groups[g.Group] != state {
			j.log.Info("group", "group", g.Group, "role", g.Role, "epoch", g.Epoch, "flows", g.Stats.Flows, "copies", g.CopiesHeld)
		}
		j.compareHosts(g.Group, g.Stats.Hosts, hosts)
	}
	for id, old := range j.groups {
		if _, ok := now[id]; !ok {
			j.log.Info("group is no longer held", "group", id, "role", old.role)
		}
	}
	j.groups, j.hosts = now, hosts
}

// compareHosts logs hosts that became usable or unusable, and adds the present
// states to now. Hosts start as usable.
func (j *Journal) compareHosts(g snapshot.GroupID, stats []group.HostStats, now map[snapshot.HostID]hostState) {
	for _, h := range stats {
		state := hostState{h.Usable, h.Why}
		now[h.Host] = state
		old, ok := j.hosts[h.Host]
		if !ok {
			old = hostState{usable: true}
		}
		if state != old {
			j.log.Info("host", "host", h.Host, "group", g, "usable", h.Usable, "why", h.Why)
		}
	}
}
