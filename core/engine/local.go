package engine

import (
	"slices"
	"sync"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/member"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// role is the role of this instance for one group.
type role uint8

const (
	roleBackup     role = iota // holds copies or nothing
	rolePulling                // fetches the entries from the current owner, which still makes the decisions
	roleOwner                  // decides on the group's packets
	roleHandedOver             // no longer decides; forwards packets that it has entries for
)

func (r role) String() string {
	return [...]string{"backup", "pulling", "owner", "handed_over"}[r]
}

// localGroup is the state that this instance keeps for one group.
type localGroup struct {
	id snapshot.GroupID

	mu    sync.Mutex
	role  role
	table *group.Table // set at the owner; after a handover, the table as it was handed over
	// successor is the new owner after a handover. successorClaimed is set once its
	// claim has been received; from then on it gets all packets.
	successor        snapshot.InstanceID
	successorClaimed bool
	// keepUntil is when a handed-over table is dropped or, for an owner, when the
	// previous owner is no longer asked.
	keepUntil time.Duration
	// lostEpoch is the epoch of a claim of this instance that ended because another
	// claim took precedence, or 0.
	lostEpoch uint64
	// previousOwner is asked for entries that the owner lacks, 0 if there is none.
	previousOwner snapshot.InstanceID
	pull          pull
	// mergedEpochs holds, by rival claimant, the epoch of the claim that has been merged.
	mergedEpochs  map[snapshot.InstanceID]uint64
	displacedScan displacedScan

	copies           *group.Copies
	copiedEntries    int // entries received as copies in this epoch
	copyEpoch        uint64
	copyFrom         snapshot.InstanceID
	lastCopy         time.Duration
	backup           snapshot.InstanceID // receives copies while this instance is the owner
	foreignReporters map[snapshot.InstanceID]bool
}

// groupIndex lists the groups that this instance keeps state for. It is immutable,
// since Packet reads it without a lock.
type groupIndex struct {
	byID map[snapshot.GroupID]*localGroup
	list []*localGroup // sorted by ID
}

// localGroup returns the state of a group, or nil if there is none.
func (e *Engine) localGroup(id snapshot.GroupID) *localGroup { return e.groups.Load().byID[id] }

// ensureGroup returns the state of a group and creates it if there is none.
func (e *Engine) ensureGroup(id snapshot.GroupID) *localGroup {
	if l := e.localGroup(id); l != nil {
		return l
	}
	l := &localGroup{
		id:               id,
		mergedEpochs:     make(map[snapshot.InstanceID]uint64),
		foreignReporters: make(map[snapshot.InstanceID]bool),
	}
	e.sortedGroups = append(e.sortedGroups, l)
	e.publishGroups()
	return l
}

// removeGroup deletes the state of a group.
func (e *Engine) removeGroup(l *localGroup) {
	for i, x := range e.sortedGroups {
		if x == l {
			e.sortedGroups = append(e.sortedGroups[:i:i], e.sortedGroups[i+1:]...)
		}
	}
	e.publishGroups()
}

// publishGroups makes the current groups visible to Packet.
func (e *Engine) publishGroups() {
	sortGroups(e.sortedGroups)
	g := &groupIndex{byID: make(map[snapshot.GroupID]*localGroup, len(e.sortedGroups)), list: slices.Clone(e.sortedGroups)}
	for _, l := range e.sortedGroups {
		g.byID[l.id] = l
	}
	e.groups.Store(g)
}

// groupIn returns the group in a snapshot. For a group that the snapshot no longer
// lists, it returns one without hosts: existing flows keep their hosts, and no new
// flows are placed.
func groupIn(s *snapshot.Snapshot, id snapshot.GroupID) *snapshot.Group {
	if g := s.Groups[id]; g != nil {
		return g
	}
	return &snapshot.Group{ID: id}
}

// setSnapshot applies a newer snapshot to the tables of the group.
func (l *localGroup) setSnapshot(now time.Duration, s *snapshot.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := groupIn(s, l.id)
	if l.table != nil {
		l.table.UpdateSnapshot(now, s, g)
		l.forgetMoved(now, s)
	}
	if l.pull.table != nil {
		l.pull.table.UpdateSnapshot(now, s, g)
	}
}

// forgetMoved removes the entries of flows that are not established yet and whose
// endpoint leaves the group's service with this snapshot.
func (l *localGroup) forgetMoved(now time.Duration, s *snapshot.Snapshot) {
	var left []snapshot.Endpoint
	for _, m := range s.Moves() {
		if m.Version == s.Version && m.From == l.id.Service {
			left = append(left, m.Endpoint)
		}
	}
	if len(left) > 0 {
		l.table.RemoveUnestablished(func(k flow.Key) bool { return slices.Contains(left, endpoint(k)) })
	}
}

// newTable creates an empty table for a new claim.
func (e *Engine) newTable(
	now time.Duration, v *member.View, id snapshot.GroupID, epoch uint64, base []snapshot.HostID,
) *group.Table {
	return group.New(now, group.Config{
		Group: groupIn(v.Snapshot, id), Snapshot: v.Snapshot,
		Epoch: epoch, Base: base, MaxFlows: e.cfg.MaxFlows,
	})
}

// becomeOwner makes this instance the owner of a group. The caller holds l.mu.
func (l *localGroup) becomeOwner(now time.Duration, t *group.Table, previous snapshot.InstanceID) {
	l.role, l.table, l.previousOwner = roleOwner, t, previous
	l.successor, l.successorClaimed, l.keepUntil, l.lostEpoch = 0, false, now+handedOverKeep, 0
	l.pull = pull{}
	l.backup = 0
	l.copies, l.copiedEntries = nil, 0
	clear(l.foreignReporters)
	clear(l.mergedEpochs)
}

// handOver ends this instance's claim. The caller holds l.mu.
func (l *localGroup) handOver(now time.Duration, next snapshot.InstanceID, settled bool) {
	l.role, l.successor, l.successorClaimed = roleHandedOver, next, settled
	l.keepUntil = now + handedOverKeep
	l.backup, l.previousOwner = 0, 0
	l.pull = pull{}
}

// importAll copies all entries of one table of this instance into another.
func importAll(now time.Duration, into, from *group.Table) {
	for cursor := uint64(0); ; {
		page := from.Pull(now, cursor, pullPageEntries)
		into.Import(now, page.Entries)
		if page.Done {
			return
		}
		cursor = page.Next
	}
}

// rebuildTable creates the table of a group whose owner is gone, from what this
// instance has: copies, pages of an unfinished pull, and its own older table.
// The caller holds l.mu.
func (l *localGroup) rebuildTable(now time.Duration, e *Engine, v *member.View, o *member.Ownership) *group.Table {
	var entries []message.Entry
	var base []snapshot.HostID
	epoch := o.MaxEpoch
	if l.copies != nil {
		var copyEpoch uint64
		entries, base, copyEpoch = l.copies.Promote(now)
		epoch = max(epoch, copyEpoch)
	}
	if base == nil {
		base = l.pull.base
	}
	for _, t := range []*group.Table{l.table, l.pull.table} {
		if t != nil {
			epoch = max(epoch, t.Epoch())
		}
	}
	t := e.newTable(now, v, l.id, epoch+1, base)
	if l.pull.table != nil {
		importAll(now, t, l.pull.table)
	}
	t.Import(now, entries)
	if l.table != nil {
		importAll(now, t, l.table)
	}
	return t
}
