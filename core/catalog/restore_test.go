package catalog

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
)

// written returns the entry of a server after a number of writes.
func written(id ServerID, rev Revision, writes int64, draining bool) Server {
	s := server(id, rev)
	s.Sequence, s.Draining = writes, draining
	return s
}

// restoredCatalog returns a catalog at revision 20 of the first epoch, healthy for a
// minute, with the servers 1 and 2, and 3 that was published last, and a function that
// applies the full list of a restored store a second later.
func restoredCatalog() (*Catalog, func(servers ...Server) ApplyResult) {
	c := New()
	c.Apply(second, second, second, fullChange(10, config(4), written(1, 3, 7, false), written(2, 4, 7, false)))
	c.Apply(60*second, 60*second, second, &Change{Revision: 20, Servers: []Server{written(3, 20, 1, false)}})
	return c, func(servers ...Server) ApplyResult {
		at := 61 * second
		return c.Apply(at, at, at, &Change{Epoch: 1, Revision: 12, Full: true, Config: config(2), Servers: servers})
	}
}

// Guards against changes that are missed because a restored store gives out known revisions again.
func TestRevisionsOfAnotherEpochAreNotKnown(t *testing.T) {
	g := NewWithT(t)
	c, restore := restoredCatalog()
	g.Expect(c.Confirm(61*second, Position{Epoch: 1, Revision: 12})).To(BeFalse())
	g.Expect(c.AsOf()).To(Equal(60 * second))
	a := c.Apply(61*second, 61*second, 61*second, &Change{Epoch: 1, Revision: 30, Servers: []Server{server(9, 30)}})
	g.Expect(a.Stale).To(BeTrue(), "changes without the list that they follow")
	restore(written(1, 3, 7, false), written(2, 4, 7, false))
	g.Expect(c.Position()).To(Equal(Position{Epoch: 1, Revision: 12}))
	a = c.Apply(62*second, 62*second, 61*second, &Change{Epoch: 1, Revision: 13, Config: config(5), Servers: []Server{written(1, 13, 9, true)}})
	g.Expect(a.Stale).To(BeFalse())
	g.Expect(c.Version()).To(Equal(Version(5)))
	g.Expect(c.servers[1].Draining).To(BeTrue())
	g.Expect(c.Apply(62*second, 62*second, second, fullChange(40, nil)).Stale).To(BeTrue(), "a list of the former epoch")
	g.Expect(c.Since(62*second, Position{Revision: 20}, 4, false).Full).To(BeTrue(), "a follower of the former epoch")
}

// Guards against a confirmed configuration that an older copy of the store undoes.
func TestRestoreKeepsTheConfiguration(t *testing.T) {
	g := NewWithT(t)
	c, restore := restoredCatalog()
	g.Expect(restore().ConfigChanged).To(BeFalse())
	g.Expect(c.Version()).To(Equal(Version(4)))
}

// Guards against new flows to a server that leaves and whose report a restore has undone.
func TestRestoreKeepsServersDraining(t *testing.T) {
	g := NewWithT(t)
	c, restore := restoredCatalog()
	c.Apply(60*second, 60*second, second, &Change{Revision: 21, Servers: []Server{written(1, 21, 9, true)}})
	restore(written(1, 3, 7, false), written(2, 4, 7, false))
	g.Expect(c.servers[1].Draining).To(BeTrue())
	g.Expect(c.servers[1].Published()).To(BeTrue())
	// It is written again.
	c.Apply(62*second, 62*second, 61*second, &Change{Epoch: 1, Revision: 13, Servers: []Server{written(1, 13, 11, true)}})
	g.Expect(c.servers[1].Revision).To(Equal(Revision(13)))
	// A later write counts, whatever it says.
	c.Apply(63*second, 63*second, 61*second, &Change{Epoch: 1, Revision: 14, Servers: []Server{written(1, 14, 12, false)}})
	g.Expect(c.servers[1].Draining).To(BeFalse())
}

// Guards against a server that has left and is in use again, listed by an older copy of the store.
func TestRestoreDoesNotBringBackServersThatLeft(t *testing.T) {
	g := NewWithT(t)
	c, restore := restoredCatalog()
	c.Apply(60*second, 60*second, second, &Change{Revision: 21, Servers: []Server{written(1, 21, 9, true)}})
	c.Apply(60*second, 60*second, second, &Change{Revision: 22, Removed: []Removal{{ID: 1, Revision: 22}}})
	restore(written(1, 3, 7, false), written(2, 4, 7, false))
	g.Expect(c.Active(c.servers[1])).To(BeFalse())
	// Its entry expires.
	c.Apply(64*second, 64*second, 61*second, &Change{Epoch: 1, Revision: 13, Removed: []Removal{{ID: 1, Revision: 13}}})
	g.Expect(c.Active(c.servers[1])).To(BeFalse())
}

// Guards against servers without new flows or with reset flows that a restored store
// lists as of before their entries expired or a start was known.
func TestRestoreKeepsRunningServers(t *testing.T) {
	g := NewWithT(t)
	c, restore := restoredCatalog()
	restarted := written(2, 21, 1, false)
	restarted.Started += 5000
	c.Apply(60*second, 60*second, second, &Change{Revision: 21, Servers: []Server{restarted}, Removed: []Removal{{ID: 1, Revision: 21}}})
	restore(written(1, 3, 7, false), written(2, 4, 7, false))
	g.Expect(c.servers[1].Published()).To(BeTrue())
	g.Expect(c.servers[2].Started).To(Equal(restarted.Started))
	// Server 3 is not in the copy. It writes its entry again within about 2 s.
	g.Expect(serverIDs(c.ServersOf("feed"))).To(ConsistOf(ServerID(1), ServerID(2), ServerID(3)))
	c.Confirm(63*second, Position{Epoch: 1, Revision: 12})
	c.Expire(63 * second)
	g.Expect(serverIDs(c.ServersOf("feed"))).To(ConsistOf(ServerID(1), ServerID(2), ServerID(3)))
	g.Expect(c.Presence(c.servers[3])).To(Equal(Unlisted))
	c.Apply(63*second, 63*second, 61*second, &Change{Epoch: 1, Revision: 13, Servers: []Server{written(3, 13, 3, false)}})
	g.Expect(c.Presence(c.servers[3])).To(Equal(Listed))
	c.Expire(70 * second)
	g.Expect(serverIDs(c.ServersOf("feed"))).To(ConsistOf(ServerID(1), ServerID(2), ServerID(3)))
}

// Guards against a server that counts as gone by the time for which the store was healthy before a restore.
func TestRestoreBeginsANewHealthyPeriod(t *testing.T) {
	g := NewWithT(t)
	c, restore := restoredCatalog()
	restore(written(1, 3, 7, false))
	_, healthy := c.Age(61 * second)
	g.Expect(healthy).To(BeZero())
	g.Expect(c.AbsenceConfirmed(61 * second)).To(BeFalse())
}

// Guards against new flows to a server whose report of draining has the sequence of a known entry.
func TestDrainingOfAnEqualSequenceCounts(t *testing.T) {
	g := NewWithT(t)
	c, restore := restoredCatalog()
	restore(written(1, 3, 7, false), written(2, 12, 7, true))
	g.Expect(c.servers[2].Draining).To(BeTrue())
}

// Guards against new flows to a draining server whose earlier writes are done again in order.
func TestEarlierWritesDoneAgainEndNoDrain(t *testing.T) {
	g := NewWithT(t)
	c, restore := restoredCatalog()
	c.Apply(60*second, 60*second, second, &Change{Revision: 21, Servers: []Server{written(1, 21, 9, true)}})
	restore(written(1, 3, 7, false), written(2, 4, 7, false))
	c.Apply(62*second, 62*second, 61*second, &Change{Epoch: 1, Revision: 13, Servers: []Server{written(1, 13, 8, false)}})
	g.Expect(c.servers[1].Draining).To(BeTrue())
}

// Guards against flows to the former address of a server that restarts after a restore with a clock that is behind.
func TestStartWithAnEarlierClockAfterARestoreCounts(t *testing.T) {
	g := NewWithT(t)
	c, restore := restoredCatalog()
	restore(written(1, 3, 7, false), written(2, 4, 7, false))
	restarted := written(3, 13, 1, false)
	restarted.Started -= 500
	restarted.Addr = netip.MustParseAddrPort("10.0.0.77:80")
	c.Apply(62*second, 62*second, 61*second, &Change{Epoch: 1, Revision: 13, Servers: []Server{restarted}})
	g.Expect(c.servers[3].Addr).To(Equal(restarted.Addr))
	g.Expect(c.servers[3].Started).To(Equal(restarted.Started))
}

// Guards against a draining server that stays out of use when its ID starts again after a restore with a clock that is behind.
func TestStartWithAnEarlierClockAfterADrainIsInUse(t *testing.T) {
	g := NewWithT(t)
	c, restore := restoredCatalog()
	c.Apply(60*second, 60*second, second, &Change{Revision: 21, Servers: []Server{written(3, 21, 3, true)}})
	restore(written(1, 3, 7, false), written(2, 4, 7, false))
	restarted := written(3, 13, 1, false)
	restarted.Started -= 500
	c.Apply(62*second, 62*second, 61*second, &Change{Epoch: 1, Revision: 13, Servers: []Server{restarted}})
	g.Expect(c.Active(c.servers[3])).To(BeTrue())
	g.Expect(c.servers[3].Draining).To(BeFalse())
}

// Guards against flows to the former address of a server that restarted with a clock that is behind, listed by an older copy.
func TestRestoreKeepsAStartWithAnEarlierClock(t *testing.T) {
	g := NewWithT(t)
	c, restore := restoredCatalog()
	restarted := written(2, 21, 1, false)
	restarted.Started -= 500
	restarted.Addr = netip.MustParseAddrPort("10.0.0.77:80")
	c.Apply(60*second, 60*second, second, &Change{Revision: 21, Servers: []Server{restarted}})
	restore(written(1, 3, 7, false), written(2, 4, 7, false))
	g.Expect(c.servers[2].Started).To(Equal(restarted.Started))
	g.Expect(c.servers[2].Addr).To(Equal(restarted.Addr))
}

// Guards against changes that are ignored after a start at which a restore came between two pages.
func TestPagesOfAFormerEpochHideNoChanges(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.AddPartial(second, &Change{Revision: 23, Config: config(4), Servers: []Server{written(1, 23, 7, false), written(2, 22, 7, false)}})
	page := Change{Epoch: 1, Revision: 12, Config: config(4), Servers: []Server{written(1, 3, 5, false)}}
	c.AddPartial(2*second, &page)
	page.Full = true
	c.Apply(2*second, 2*second, 2*second, &page)
	c.Apply(3*second, 3*second, 2*second, &Change{Epoch: 1, Revision: 13, Servers: []Server{written(1, 13, 9, true)}})
	g.Expect(c.servers[1].Draining).To(BeTrue())
	c.Apply(7*second, 7*second, 2*second, &Change{Epoch: 1, Revision: 14})
	c.Expire(7 * second)
	g.Expect(c.Active(c.servers[2])).To(BeFalse(), "it is not in the store")
}

// Guards against new flows to a server that drains after a start at which a restore came between two pages.
func TestPagesOfAFormerEpochKeepServersDraining(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.AddPartial(second, &Change{Revision: 23, Config: config(4), Servers: []Server{written(1, 23, 9, true)}})
	c.Apply(2*second, 2*second, 2*second, &Change{Epoch: 1, Revision: 12, Full: true, Config: config(4), Servers: []Server{written(1, 3, 7, false)}})
	g.Expect(c.servers[1].Draining).To(BeTrue())
}

// Guards against reset flows of a server whose address had another one, with a clock ahead, in the copy.
func TestFormerHolderInACopyTakesNoAddress(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.Apply(second, second, second, fullChange(22, config(4, "1.1.1.1:80"), written(1, 3, 7, false), written(6, 22, 1, false)))
	former := written(5, 4, 7, false)
	former.Started += 2000
	former.Addr = c.servers[6].Addr
	c.Apply(10*second, 10*second, 10*second, &Change{Epoch: 1, Revision: 12, Full: true, Config: config(4, "1.1.1.1:80"), Servers: []Server{written(1, 3, 7, false), former}})
	g.Expect(c.Presence(c.servers[6])).NotTo(Equal(AddressTaken))
	c.Apply(11*second, 11*second, 10*second, &Change{Epoch: 1, Revision: 13, Servers: []Server{written(6, 13, 3, false)}})
	g.Expect(c.Presence(c.servers[6])).To(Equal(Listed))
	g.Expect(c.Active(c.servers[6])).To(BeTrue())
}

// Guards against a follower that keeps a server for ever whose removal its source takes for known.
func TestRemovalAfterARestoreReachesFollowers(t *testing.T) {
	g := NewWithT(t)
	source, restore := restoredCatalog()
	source.Apply(60*second, 60*second, second, &Change{Revision: 21, Servers: []Server{written(1, 21, 9, true)}})
	source.Apply(60*second, 60*second, second, &Change{Revision: 22, Removed: []Removal{{ID: 1, Revision: 22}}})
	inCopy := []Server{written(1, 3, 7, false), written(2, 4, 7, false)}
	restore(inCopy...)
	started := New()
	started.Apply(61*second, 61*second, 61*second, &Change{Epoch: 1, Revision: 12, Full: true, Config: config(4), Servers: inCopy})
	source.Apply(64*second, 64*second, 61*second, &Change{Epoch: 1, Revision: 13, Removed: []Removal{{ID: 1, Revision: 13}}})
	started.Apply(64*second, 64*second, 61*second, source.Since(64*second, started.Position(), 4, false))
	g.Expect(started.Position()).To(Equal(source.Position()))
	g.Expect(serverIDs(started.ServersOf("feed"))).To(ConsistOf(ServerID(2)))
}
