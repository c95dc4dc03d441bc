package group

import (
	"time"

	"egrettack.example/core/admit"
	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/place"
	"egrettack.example/core/snapshot"
	"egrettack.example/core/table"
)

// DefaultMaxFlows is the default maximum of entries per group, about 64 MB.
const DefaultMaxFlows = 1 << 20

// Config holds the parameters of a Table. All times passed to a Table are
// monotonic times since the start of the process.
type Config struct {
	Group    *snapshot.Group
	Snapshot *snapshot.Snapshot
	Epoch    uint64
	Base     []snapshot.HostID // base list, see baseLists; nil: the hosts of Group
	MaxFlows int               // 0: DefaultMaxFlows
}

// Table is the state of one owned host group.
type Table struct {
	cfg       Config
	service   *snapshot.Service
	kinds     [256]*snapshot.Kind
	flows     *table.Table
	hosts     *place.HostSet
	admission *admit.Controller
	bases     baseLists
	copies    copyStream
	pull      pullState
	refusals  refusalCache
	// openRedirects counts the redirects of open flows per kind, synRedirects
	// those among them of which only SYNs have been seen.
	synRedirects, openRedirects [256]int

	// resets collects the resets that one Tick returns.
	resets []flow.Reset
}

// New returns an empty table.
func New(now time.Duration, cfg Config) *Table {
	if cfg.MaxFlows <= 0 {
		cfg.MaxFlows = DefaultMaxFlows
	}
	t := &Table{
		cfg:   cfg,
		flows: table.New(),
		hosts: place.New(cfg.Group.Hosts),
	}
	t.bases = newBaseLists(cfg.Base, cfg.Group)
	t.service = cfg.Snapshot.Services[cfg.Group.ID.Service]
	t.admission = admit.New(t.configureKinds())
	t.recount()
	return t
}

// configureKinds indexes the kinds of the service and returns them.
func (t *Table) configureKinds() []*snapshot.Kind {
	t.kinds = [256]*snapshot.Kind{}
	if t.service == nil {
		return nil
	}
	for _, k := range t.service.Kinds {
		t.kinds[k.ID] = k
	}
	return t.service.Kinds
}

// UpdateSnapshot replaces the snapshot and the group, whose hosts may differ.
func (t *Table) UpdateSnapshot(now time.Duration, s *snapshot.Snapshot, g *snapshot.Group) {
	old := t.cfg.Snapshot
	t.cfg.Snapshot, t.cfg.Group = s, g
	t.service = s.Services[g.ID.Service]
	t.admission.Configure(t.configureKinds())
	t.hosts.Update(now, g.Hosts, func(h snapshot.HostID) bool { return old.Hosts[h] == nil })
	for _, h := range t.hosts.All() {
		h.Unlisted = t.unlisted(h.ID)
	}
	t.startRebase()
	t.recount()
}

// recount sets the counts of admission control from those of the usable hosts.
func (t *Table) recount() {
	var use [256]int
	for _, h := range t.hosts.All() {
		if h.Usable() {
			for k, n := range h.InUseByKind {
				use[k] += int(n)
			}
		}
	}
	for k, n := range use {
		t.admission.SetInUse(snapshot.KindID(k), n)
	}
	t.updateCapacity()
}

// updateCapacity passes the total and the free capacity of the usable hosts to
// admission control.
func (t *Table) updateCapacity() {
	t.updateCapacityOf(snapshot.OccupiesConnection)
	t.updateCapacityOf(snapshot.OccupiesSlot)
}

func (t *Table) updateCapacityOf(o snapshot.Occupancy) {
	capacity, free := t.hosts.Capacity(o)
	t.admission.SetCapacity(o, capacity)
	t.admission.SetFree(o, free)
}

// adjustUse adds n to the use of a kind, for a flow that started or ended on a
// usable host.
func (t *Table) adjustUse(k snapshot.KindID, n int, slot bool) {
	t.admission.AddInUse(k, n)
	t.updateCapacityOf(snapshot.OccupiesConnection)
	if slot {
		t.updateCapacityOf(snapshot.OccupiesSlot)
	}
}

// ApplyLoadReport applies a host's load report, which may be late or wrong.
func (t *Table) ApplyLoadReport(now time.Duration, h snapshot.HostID, r message.LoadReport) {
	t.hosts.ApplyReport(now, h, r)
	t.recount()
}

// SetForeignCounts sets the counts of flows on hosts of this group that are
// held by another instance.
func (t *Table) SetForeignCounts(now time.Duration, from snapshot.InstanceID, counts []message.HostCount) {
	t.hosts.SetForeignCounts(now, from, counts)
	t.updateCapacity()
}

// ForeignCounts returns the counts of flows that this table holds on hosts
// outside the group, for the owners of the groups of these hosts. Those pass them
// to SetForeignCounts.
func (t *Table) ForeignCounts() []message.HostCount {
	var held []message.HostCount
	for _, h := range t.hosts.All() {
		if h.Connections > 0 && !t.inGroup(h.ID) {
			held = append(held, message.HostCount{
				Host: h.ID, Connections: uint32(h.Connections), Slots: uint32(h.InProgress),
			})
		}
	}
	return held
}

// inGroup reports whether a host is in the current host list of the group.
func (t *Table) inGroup(id snapshot.HostID) bool {
	for _, h := range t.cfg.Group.Hosts {
		if h.ID == id {
			return true
		}
	}
	return false
}

// hostGone reports whether a host is no longer published as one of the service.
func (t *Table) hostGone(id snapshot.HostID) bool {
	if h := t.hosts.Find(id); h != nil {
		return h.Unlisted
	}
	return t.unlisted(id)
}

func (t *Table) unlisted(id snapshot.HostID) bool {
	h := t.cfg.Snapshot.Hosts[id]
	return h == nil || h.Service != t.cfg.Group.ID.Service
}

// AcceptsNewFlows reports whether the table still places new flows, which it
// does until it has been handed over.
func (t *Table) AcceptsNewFlows() bool { return !t.pull.done }

// Epoch returns the epoch of the ownership claim that the table belongs to.
func (t *Table) Epoch() uint64 { return t.cfg.Epoch }
