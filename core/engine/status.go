package engine

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/member"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// Status is the state of one instance as shown to operators. It is sent as JSON;
// fields without a tag are sent under their own names.
type Status struct {
	Self    snapshot.InstanceID
	State   message.State
	Stale   bool
	Version snapshot.Version
	// Unclaimed is the number of groups in this instance's domain that no
	// instance is known to claim.
	Unclaimed int
	Peers     []PeerStatus
	Groups    []GroupStatus
}

// PeerStatus is the state of one peer as known to this instance.
type PeerStatus struct {
	Instance     snapshot.InstanceID
	State        message.State
	Version      snapshot.Version
	HeartbeatAge time.Duration `json:"Heard"` // time since the last heartbeat
}

// GroupStatus is the state of one group that this instance owns or has copies of.
type GroupStatus struct {
	Group      snapshot.GroupID
	Role       string // owner, pulling, handed_over, backup
	Epoch      uint64
	CopiesHeld int `json:"Copies"` // entries received as copies in the current epoch
	Stats      group.Stats
}

// Status returns the current state of the instance.
func (e *Engine) Status(now time.Duration) Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := Status{Self: e.cfg.Self, State: e.tracker.State()}
	v := e.view.Load()
	if v == nil {
		return st
	}
	st.Stale, st.Version = e.stale(now, v), v.Snapshot.Version
	for id, o := range v.Owners {
		if id.Domain == e.cfg.Domain && o.Claimant == 0 {
			st.Unclaimed++
		}
	}
	for id, p := range v.Peers {
		st.Peers = append(st.Peers, PeerStatus{
			Instance: id, State: p.State, Version: e.tracker.PeerVersion(id), HeartbeatAge: e.tracker.HeartbeatAge(now, id),
		})
	}
	slices.SortFunc(st.Peers, func(a, b PeerStatus) int { return cmp.Compare(a.Instance, b.Instance) })
	for _, l := range e.sortedGroups {
		st.Groups = append(st.Groups, l.status(now))
	}
	return st
}

func (l *localGroup) status(now time.Duration) GroupStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	gs := GroupStatus{Group: l.id, Role: l.role.String(), CopiesHeld: l.copiedEntries}
	if l.table != nil {
		gs.Epoch, gs.Stats = l.table.Epoch(), l.table.Stats(now)
	} else {
		gs.Epoch = l.copyEpoch
	}
	return gs
}

// Explain describes in plain text where the packets of a flow are sent and why.
func (e *Engine) Explain(now time.Duration, k flow.Key) string {
	v := e.view.Load()
	if v == nil {
		return "no snapshot is in force"
	}
	var b strings.Builder
	w := packetWork{now: now, p: &flow.Packet{Key: k}, v: v}
	bind, ok := v.Lookup(endpoint(k))
	if !ok {
		return fmt.Sprintf("flow %s: destination %s belongs to no service in snapshot version %d; packets are dropped",
			k, endpoint(k), v.Snapshot.Version)
	}
	w.bind = bind
	w.rankGroups()
	fmt.Fprintf(&b, "flow %s: service %s (%d), kind %s (%d), version %d\n",
		k, bind.Service.Name, bind.Service.ID, bind.Kind.Name, bind.Kind.ID, v.Snapshot.Version)
	if bind.MovedIn != 0 {
		fmt.Fprintf(&b, "the address moved from service %d in snapshot version %d; packets without a flow entry are dropped\n",
			bind.MovedFrom, bind.MovedIn)
	}
	for i, r := range bind.Service.Rank(k) {
		if r >= 0 {
			e.explainGroup(now, &b, &w, i+1, w.owners[r])
		}
	}
	switch {
	case w.firstReachable < 0:
		b.WriteString("no group is reachable; packets are dropped\n")
	case w.firstReachable != w.topRanked:
		fmt.Fprintf(&b, "new flows go to group %s, because the first-ranked group is not reachable\n", w.owners[w.firstReachable].ID)
	}
	if e.stale(now, v) {
		b.WriteString("this instance was paused and its view is stale; it relays packets and decides on none\n")
	}
	return b.String()
}

func (e *Engine) explainGroup(now time.Duration, b *strings.Builder, w *packetWork, n int, o *member.Ownership) {
	fmt.Fprintf(b, "group %d: %s, ranked owners %v", n, o.ID, o.Ranked)
	switch {
	case o.Target == nil:
		b.WriteString(", not reachable")
	case o.Claimant != 0:
		fmt.Fprintf(b, ", claimed by %d with epoch %d", o.Claimant, o.Epoch)
	default:
		fmt.Fprintf(b, ", not claimed; relayed to %d", o.Target.ID)
	}
	if l := e.localGroup(o.ID); l != nil {
		l.mu.Lock()
		fmt.Fprintf(b, "; here: %s", l.role)
		if l.table != nil {
			fmt.Fprintf(b, ", %s", l.table.Explain(now, w.p.Key, w.bind.Kind.ID))
		}
		l.mu.Unlock()
	}
	b.WriteByte('\n')
}
