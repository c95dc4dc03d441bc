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

// role is what this instance is for one group.
type role uint8

const (
	roleBackup     role = iota // holds copies, or nothing
	rolePulling                // gets the entries from the present owner, which still decides
	roleOwner                  // decides
	roleHandedOver             // has stopped deciding; forwards what it has entries for
)

func (r role) String() string {
	return [...]string{"backup", "pulling", "owner", "handed_over"}[r]
}

// local is the state of one group at this instance.
type local struct {
	id snapshot.GroupID

	mu    sync.Mutex
	role  role
	table *group.Table // of the owner, or what it was when the group was handed over
	// next is the new owner after a hand-over. settled is set once its claim
	// has been heard; from then on it gets all packets.
	next    snapshot.InstanceID
	settled bool
	// keep is until when a handed-over table is kept, or until when the
	// previous owner is asked.
	keep time.Duration
	// lost is the epoch of a claim that ended because another one held, or 0.
	lost uint64
	// previous is asked for entries that the owner lacks.
	previous snapshot.InstanceID
	pull     pull
	// merged tells which epoch of a rival's claim has been merged.
	merged    map[snapshot.InstanceID]uint64
	displaced displaced

	copies     *group.Copies
	copied     int // entries received as copies in this epoch
	copyEpoch  uint64
	copyFrom   snapshot.InstanceID
	copyHeard  time.Duration
	backup     snapshot.InstanceID // receives the copies of the owner
	hadForeign map[snapshot.InstanceID]bool
}

// groups are the groups that this instance has state of. It is immutable,
// since Packet reads it without a lock.
type groups struct {
	byID map[snapshot.GroupID]*local
	list []*local // sorted
}

// local returns the state of a group, or nil.
func (e *Engine) local(id snapshot.GroupID) *local { return e.groups.Load().byID[id] }

// ensure returns the state of a group and makes it if there is none.
func (e *Engine) ensure(id snapshot.GroupID) *local {
	if l := e.local(id); l != nil {
		return l
	}
	l := &local{
		id:         id,
		merged:     make(map[snapshot.InstanceID]uint64),
		hadForeign: make(map[snapshot.InstanceID]bool),
	}
	e.order = append(e.order, l)
	e.index()
	return l
}

// discard forgets a group.
func (e *Engine) discard(l *local) {
	for i, x := range e.order {
		if x == l {
			e.order = append(e.order[:i:i], e.order[i+1:]...)
		}
	}
	e.index()
}

// index publishes the present groups.
func (e *Engine) index() {
	sortLocals(e.order)
	g := &groups{byID: make(map[snapshot.GroupID]*local, len(e.order)), list: slices.Clone(e.order)}
	for _, l := range e.order {
		g.byID[l.id] = l
	}
	e.groups.Store(g)
}

// groupIn returns the group in a snapshot. For one that is no longer there it
// returns a group without hosts: its flows stay where they are, and it places
// no new ones.
func groupIn(s *snapshot.Snapshot, id snapshot.GroupID) *snapshot.Group {
	if g := s.Groups[id]; g != nil {
		return g
	}
	return &snapshot.Group{ID: id}
}

// update takes a newer snapshot into use.
func (l *local) update(now time.Duration, s *snapshot.Snapshot) {
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

// forgetMoved removes young flows to endpoints that leave the group's service
// with this snapshot.
func (l *local) forgetMoved(now time.Duration, s *snapshot.Snapshot) {
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

// newTable makes the table of a new claim.
func (e *Engine) newTable(
	now time.Duration, v *member.View, id snapshot.GroupID, epoch uint64, base []snapshot.HostID,
) *group.Table {
	return group.New(now, group.Config{
		Group: groupIn(v.Snapshot, id), Snapshot: v.Snapshot,
		Epoch: epoch, Base: base, MaxFlows: e.cfg.MaxFlows,
	})
}

// own makes this instance the owner of a group. The caller holds l.mu.
func (l *local) own(now time.Duration, t *group.Table, previous snapshot.InstanceID) {
	l.role, l.table, l.previous = roleOwner, t, previous
	l.next, l.settled, l.keep, l.lost = 0, false, now+handedOverKeep, 0
	l.pull = pull{}
	l.backup = 0
	l.copies, l.copied = nil, 0
	clear(l.hadForeign)
	clear(l.merged)
}

// handOver ends this instance's claim. The caller holds l.mu.
func (l *local) handOver(now time.Duration, next snapshot.InstanceID, settled bool) {
	l.role, l.next, l.settled = roleHandedOver, next, settled
	l.keep = now + handedOverKeep
	l.backup, l.previous = 0, 0
	l.pull = pull{}
}

// importAll adds all entries of an older table of this instance.
func importAll(now time.Duration, into, from *group.Table) {
	for cursor := uint64(0); ; {
		page := from.Pull(now, cursor, pullPage)
		into.Import(now, page.Entries)
		if page.Done {
			return
		}
		cursor = page.Next
	}
}

// takeOver makes the table of a group whose owner is gone from what this
// instance has: copies, pages of an unfinished pull, and its own older table.
// The caller holds l.mu.
func (l *local) takeOver(now time.Duration, e *Engine, v *member.View, o *member.Ownership) *group.Table {
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
