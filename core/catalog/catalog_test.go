package catalog

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"egrettack.example/core/token"
)

func server(id ServerID, rev Revision) Server {
	return Server{
		ID: id, Name: fmt.Sprintf("i-%x", uint64(id)), Started: 1000 + int64(id), Service: "feed", Domain: "a",
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80), Slots: 2, Revision: rev,
	}
}

func config(v Version, dests ...string) *Config {
	c := &Config{Version: v, Revision: Revision(v)}
	for _, d := range dests {
		c.Routes = append(c.Routes, Route{
			Name: d, Dest: netip.MustParseAddrPort(d), Targets: []Target{{Service: "feed", Weight: 1}},
		})
	}
	return c
}

const second = time.Second

func fullChange(rev Revision, cfg *Config, servers ...Server) *Change {
	return &Change{Revision: rev, Full: true, Config: cfg, Servers: servers}
}

// Guards against an old answer that arrives late and reverts the configuration
// or the servers.
func TestStaleChangeIsIgnored(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.Apply(second, second, second, fullChange(10, config(5, "1.1.1.1:80"), server(1, 3), server(2, 9)))
	a := c.Apply(2*second, second/2, second/2, fullChange(8, config(4, "2.2.2.2:80"), server(1, 3)))
	g.Expect(a.Stale).To(BeTrue())
	g.Expect(a.ConfigChanged).To(BeFalse())
	g.Expect(c.Version()).To(Equal(Version(5)))
	g.Expect(c.ServersOf("feed")).To(HaveLen(2))
	g.Expect(c.AsOf()).To(Equal(second))
}

// Guards against ignoring a new configuration because the servers in the same
// change are older than the known ones.
func TestNewConfigurationWithStaleServers(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.Apply(second, second, second, fullChange(10, config(5, "1.1.1.1:80"), server(1, 3)))
	a := c.Apply(second, second, second, &Change{Revision: 9, Config: config(6, "1.1.1.1:80")})
	g.Expect(a.ConfigChanged).To(BeTrue())
	g.Expect(c.Version()).To(Equal(Version(6)))
	g.Expect(c.Revision()).To(Equal(Revision(10)))
}

// Guards against treating the catalog as current while the store is ahead of it.
func TestConfirm(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.Apply(second, second, second, fullChange(10, config(1), server(1, 3)))
	g.Expect(c.Confirm(2*second, Position{Revision: 11})).To(BeFalse())
	g.Expect(c.AsOf()).To(Equal(second))
	g.Expect(c.Confirm(2*second, Position{Revision: 10})).To(BeTrue())
	g.Expect(c.AsOf()).To(Equal(2 * second))
}

// Guards against resetting flows whose server may still be running: an entry
// that expired during a store outage counts as gone only after it has been
// missing from the store for goneTimeout after the store's recovery.
func TestGoneRequiresHealthyStore(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.Apply(second, second, second, fullChange(10, config(1), server(1, 3), server(2, 4)))
	s := c.ByToken(token.ForServer(1))
	// The store is unavailable from 1 s to 20 s and then lacks the entry of
	// server 1.
	c.Apply(20*second, 20*second, 20*second, fullChange(12, nil, server(2, 4)))
	g.Expect(s.Published()).To(BeFalse())
	for at := 20 * second; at <= 22*second; at += second / 2 {
		c.Confirm(at, Position{Revision: 12})
		g.Expect(c.Presence(s)).To(Equal(Unlisted), "at %s", at)
	}
	c.Confirm(23*second, Position{Revision: 12})
	g.Expect(c.Presence(s)).To(Equal(Gone))
}

// Guards against servers that never count as gone because the store is read less
// often than every 2 s, as with a long limit for applying changes.
func TestGoneWithInfrequentReads(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.SetMaxStoreReadInterval(6 * second)
	c.Apply(second, second, second, fullChange(10, config(1), server(1, 3), server(2, 4)))
	s := c.ByToken(token.ForServer(1))
	for at := 4 * second; at <= 13*second; at += 3 * second {
		c.Confirm(at, Position{Revision: 10})
	}
	c.Apply(16*second, 16*second, 16*second, &Change{Revision: 11, Removed: []Removal{{ID: 1, Revision: 11}}})
	g.Expect(c.Presence(s)).To(Equal(Unlisted))
	c.Confirm(19*second, Position{Revision: 11})
	g.Expect(c.Presence(s)).To(Equal(Gone))
}

// Guards against too few servers right after a store outage. Entries that
// expired during it are published again within 2 s, so their servers stay active
// that long. Servers that leave a healthy store become inactive at once.
func TestUnlistedServersStayActiveAfterOutage(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.Apply(second, second, second, fullChange(10, config(1), server(1, 3), server(2, 4), server(3, 5)))
	leaving := server(3, 9)
	leaving.Draining = true
	c.Apply(second, second, second, &Change{Revision: 10, Servers: []Server{leaving}})
	returned := 20 * second
	c.Apply(returned, returned, returned, fullChange(12, nil, server(2, 4)))
	g.Expect(serverIDs(c.ServersOf("feed"))).To(ConsistOf(ServerID(1), ServerID(2)), "a draining server has no grace period")
	c.Confirm(returned+second, Position{Revision: 12})
	c.Apply(returned+second, returned+second, returned+second, &Change{Revision: 13, Servers: []Server{server(1, 13)}})
	for at := returned; at <= returned+4*second; at += second / 10 {
		c.Confirm(at, Position{Revision: 13})
		c.Expire(at)
	}
	g.Expect(serverIDs(c.ServersOf("feed"))).To(ConsistOf(ServerID(1), ServerID(2)))
	healthy := returned + 4*second
	c.Apply(healthy, healthy, returned, &Change{Revision: 14, Removed: []Removal{{ID: 1, Revision: 14}}})
	g.Expect(serverIDs(c.ServersOf("feed"))).To(ConsistOf(ServerID(2)))
}

// Guards against servers without an entry that stay active forever after a store
// outage.
func TestUnlistedServersExpireAfterOutage(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.Apply(second, second, second, fullChange(10, config(1), server(1, 3), server(2, 4)))
	returned := 20 * second
	c.Apply(returned, returned, returned, fullChange(12, nil, server(2, 4)))
	g.Expect(c.ServersOf("feed")).To(HaveLen(2))
	c.Confirm(returned+second, Position{Revision: 12})
	c.Confirm(returned+goneTimeout+1, Position{Revision: 12})
	c.Expire(returned + goneTimeout + 1)
	g.Expect(serverIDs(c.ServersOf("feed"))).To(ConsistOf(ServerID(2)))
}

// Guards against too few servers after a store that returned too briefly for them to publish themselves.
func TestUnlistedServersStayActiveInTheNextOutage(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.Apply(second, second, second, fullChange(10, config(1, "1.1.1.1:80"), server(1, 3), server(2, 4)))
	c.Apply(20*second, 20*second, 20*second, fullChange(12, nil, server(2, 4)))
	c.Confirm(20*second+second/2, Position{Revision: 12})
	for at := 21 * second; at < 30*second; at += second / 10 {
		c.Expire(at)
	}
	g.Expect(serverIDs(c.ServersOf("feed"))).To(ConsistOf(ServerID(1), ServerID(2)))
	for at := 30 * second; at <= 33*second; at += second / 2 {
		c.Confirm(at, Position{Revision: 12})
		c.Expire(at)
	}
	g.Expect(serverIDs(c.ServersOf("feed"))).To(ConsistOf(ServerID(2)))
}

func serverIDs(servers []*Server) (ids []ServerID) {
	for _, s := range servers {
		ids = append(ids, s.ID)
	}
	return ids
}

// Guards against mistaking a restarted server for its earlier incarnation, and
// against a token that leads to an incarnation that has ended.
func TestServerRestart(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.Apply(second, second, second, fullChange(10, config(1), server(1, 3)))
	old := c.ByToken(token.ForServer(1))
	restarted := server(1, 12)
	restarted.Started = 9000
	c.Apply(2*second, 2*second, 2*second, &Change{Revision: 12, Servers: []Server{restarted}})
	latest := c.ByToken(token.ForServer(1))
	g.Expect(latest.Started).To(Equal(int64(9000)))
	g.Expect(latest.FirstSeen).To(Equal(2 * second))
	g.Expect(c.Latest(old)).To(BeIdenticalTo(latest))
	g.Expect(c.ServersOf("feed")).To(Equal([]*Server{latest}))
	g.Expect(c.Active(old)).To(BeFalse())
}

// Guards against flows that break at an upgrade: instances of the former release
// give each start of a server a token of its own.
func TestTokensOfTheFormerRelease(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.Apply(second, second, second, fullChange(10, config(1), server(1, 3)))
	g.Expect(c.ByToken(token.ForIncarnation(1, 1001))).To(BeIdenticalTo(c.ByToken(token.ForServer(1))))
	restarted := server(1, 12)
	restarted.Started = 9000
	c.Apply(2*second, 2*second, 2*second, &Change{Revision: 12, Servers: []Server{restarted}})
	g.Expect(c.ByToken(token.ForIncarnation(1, 9000)).Started).To(Equal(int64(9000)))
	c.Apply(3*second, 3*second, 3*second, &Change{Revision: 13, Removed: []Removal{{ID: 1, Revision: 13}}})
	c.Expire(3*second + missingRetention)
	g.Expect(c.byFormerToken).To(BeEmpty())
}

// Guards against resets during an upgrade of flows that a restarted server took before its new entry was known, by way of an instance of the former release.
func TestTokenOfTheFormerReleaseAndTheFormerStart(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.Apply(second, second, second, fullChange(10, config(1), server(1, 3)))
	restarted := server(1, 12)
	restarted.Started = 9000
	c.Apply(2*second, 2*second, 2*second, &Change{Revision: 12, Servers: []Server{restarted}})
	g.Expect(c.ByToken(token.ForIncarnation(1, 1001))).To(BeIdenticalTo(c.ByToken(token.ForServer(1))))
}

// Guards against new flows to a server that ended without a word while another
// one already has its address, and against callers that wait for it.
func TestReusedAddressEndsServer(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.Apply(second, second, second, fullChange(10, config(1, "1.1.1.1:80"), server(1, 3), server(2, 4)))
	old, next := c.servers[1], server(7, 12)
	next.Addr = old.Addr
	c.Apply(2*second, 2*second, 2*second, &Change{Revision: 12, Servers: []Server{next}})
	g.Expect(serverIDs(c.ServersOf("feed"))).To(ConsistOf(ServerID(2), ServerID(7)))
	g.Expect(c.Presence(old)).To(Equal(AddressTaken))
	g.Expect(c.Presence(c.servers[7])).To(Equal(Listed))
	// The entry of the old server is refreshed by nobody, but the new one leaves.
	for at := 2 * second; at < 5*second; at += second {
		c.Confirm(at, Position{Revision: 12})
	}
	c.Apply(5*second, 5*second, 5*second, &Change{Revision: 13, Removed: []Removal{{ID: 7, Revision: 13}}})
	g.Expect(c.Presence(c.servers[7])).To(Equal(Unlisted), "nobody has its address")
	g.Expect(serverIDs(c.ServersOf("feed"))).To(ConsistOf(ServerID(2)), "the first server does not return")
}

// collidingIDs returns two IDs for which server returns entries with equal
// tokens.
func collidingIDs(t *testing.T) (a, b ServerID) {
	t.Helper()
	seen := make(map[token.Token]ServerID)
	for id := ServerID(1); id < 1<<22; id++ {
		tok := token.ForServer(uint64(id))
		if other, ok := seen[tok]; ok {
			return other, id
		}
		seen[tok] = id
	}
	t.Fatal("no colliding tokens found")
	return 0, 0
}

// Guards against delivering flows of one server to another with the same token:
// the server published later gets no flows until the earlier one is dropped.
func TestCollidingTokens(t *testing.T) {
	g := NewWithT(t)
	a, b := collidingIDs(t)
	c := New()
	c.Apply(second, second, second, fullChange(10, config(1), server(a, 3)))
	c.Apply(second, second, second, &Change{Revision: 11, Servers: []Server{server(b, 11)}})
	g.Expect(c.ByToken(token.ForServer(uint64(b))).ID).To(Equal(a))
	g.Expect(c.ServersOf("feed")).To(HaveLen(1))
	g.Expect(c.ServersOf("feed")[0].ID).To(Equal(a))
	c.Apply(2*second, 2*second, 2*second, &Change{Revision: 12, Removed: []Removal{{ID: a, Revision: 12}}})
	c.Expire(2*second + missingRetention)
	g.Expect(c.ServersOf("feed")).To(HaveLen(1))
	g.Expect(c.ServersOf("feed")[0].ID).To(Equal(b))
}

// Guards against instances that give a token that two servers share to different ones, by which of them they saw first.
func TestCollidingTokensNameTheSameServerEverywhere(t *testing.T) {
	g := NewWithT(t)
	a, b := collidingIDs(t)
	running, started := New(), New()
	running.Apply(second, second, second, fullChange(10, config(1), server(b, 3)))
	running.Apply(second, second, second, &Change{Revision: 11, Servers: []Server{server(a, 11)}})
	started.Apply(2*second, 2*second, 2*second, fullChange(11, config(1), server(a, 11), server(b, 3)))
	tok := token.ForServer(uint64(a))
	g.Expect(started.ByToken(tok).ID).To(Equal(running.ByToken(tok).ID))
}

// Guards against refusing open flows of a route whose targets changed, and
// against accepting services that the route never had.
func TestFormerServicesOfARoute(t *testing.T) {
	g := NewWithT(t)
	c := New()
	dest := netip.MustParseAddrPort("1.1.1.1:80")
	c.Apply(second, second, second, fullChange(10, config(1, dest.String()), server(1, 3)))
	next := config(2, dest.String())
	next.Routes[0].Targets = []Target{{Service: "upload", Weight: 1}}
	c.Apply(second, second, second, &Change{Revision: 11, Config: next})
	r := c.Route(dest)
	g.Expect(r.HasTarget("feed")).To(BeFalse())
	g.Expect(c.MayHaveFlows(r, "feed")).To(BeTrue())
	g.Expect(c.MayHaveFlows(r, "upload")).To(BeTrue())
	g.Expect(c.MayHaveFlows(r, "other")).To(BeFalse())
	// A route that was removed and added again has no former services.
	c.Apply(second, second, second, &Change{Revision: 12, Config: config(3)})
	c.Apply(second, second, second, &Change{Revision: 13, Config: uploadConfig(dest)})
	g.Expect(c.MayHaveFlows(c.Route(dest), "feed")).To(BeFalse())
}

func uploadConfig(dest netip.AddrPort) *Config {
	c := config(4, dest.String())
	c.Routes[0].Targets[0].Service = "upload"
	return c
}

// Guards against treating a part of the first server list as the full list, and
// against adding a part after the full list.
func TestAddPartialBeforeFullList(t *testing.T) {
	g := NewWithT(t)
	c := New()
	a := c.AddPartial(second, &Change{Revision: 30, Config: config(2, "1.1.1.1:80"), Servers: []Server{server(1, 3)}})
	g.Expect(a.ConfigChanged).To(BeTrue())
	g.Expect(a.Added).To(HaveLen(1))
	g.Expect(c.Complete()).To(BeFalse())
	g.Expect(c.Revision()).To(BeZero())
	g.Expect(c.ServersOf("feed")).To(HaveLen(1))
	c.Apply(second, 1, 1, fullChange(20, nil, server(2, 4)))
	g.Expect(c.ServersOf("feed")).To(HaveLen(1), "server 1 is missing from the full list")
	g.Expect(c.AddPartial(second, &Change{Servers: []Server{server(5, 9)}}).Added).To(BeEmpty())
}

// Guards against a follower that receives only some of the changes: whatever
// state it is in, applying the result of Since brings it to the state of its
// source.
func TestSinceConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := New(), New()
		rev := Revision(1)
		source.Apply(second, second, second, fullChange(rev, config(1, "1.1.1.1:80")))
		now := second
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 40_000).Draw(t, "gap")) * time.Millisecond
			rev++
			id := ServerID(rapid.IntRange(1, 6).Draw(t, "server"))
			switch rapid.SampledFrom([]string{"put", "remove", "config", "pull", "forget"}).Draw(t, "do") {
			case "put":
				s := server(id, rev)
				s.Draining = rapid.Bool().Draw(t, "draining")
				source.Apply(now, now, now, &Change{Revision: rev, Servers: []Server{s}})
			case "remove":
				source.Apply(now, now, now, &Change{Revision: rev, Removed: []Removal{{ID: id, Revision: rev}}})
			case "config":
				source.Apply(now, now, now, &Change{Revision: rev, Config: config(Version(rev), "1.1.1.1:80")})
			case "pull":
				if follower.Complete() {
					follower.Apply(now, now, now, source.Since(now, follower.Position(), follower.Version(), true))
				} else {
					follower.Apply(now, now, now, source.Since(now, Position{}, 0, false))
				}
			case "forget":
				source.Expire(now)
			}
		}
		if !follower.Loaded() {
			return
		}
		follower.Apply(now, now, now, source.Since(now, follower.Position(), follower.Version(), true))
		if a, b := publishedServers(source), publishedServers(follower); a != b {
			t.Fatalf("source has servers %s, follower %s", a, b)
		}
		if source.Version() != follower.Version() {
			t.Fatalf("source has version %d, follower %d", source.Version(), follower.Version())
		}
	})
}

func publishedServers(c *Catalog) string {
	found := map[ServerID]bool{}
	c.EachServer(func(s *Server) {
		if s.Published() {
			found[s.ID] = s.Draining
		}
	})
	return fmt.Sprint(found)
}

func fromStore(ch *Change) *Change {
	ch.FromStore = true
	return ch
}

// Guards against an entry, or the removal of one, that replaces or removes a server
// whose ID has the same digits under another key.
func TestSecondKeyOfAnID(t *testing.T) {
	g := NewWithT(t)
	real, odd := server(1, 3), server(1, 11)
	odd.Name, odd.Addr, odd.Started = "j/1", netip.MustParseAddrPort("10.9.9.9:9"), 7
	c := New()
	c.Apply(second, second, second, fromStore(fullChange(10, config(1, "1.1.1.1:80"), real, server(2, 4))))
	expectReal := func(step string) {
		g.Expect(serverIDs(c.ServersOf("feed"))).To(ConsistOf(ServerID(1), ServerID(2)), step)
		g.Expect(c.servers[1].Name).To(Equal(real.Name), step)
		g.Expect(c.servers[1].Addr).To(Equal(real.Addr), step)
		g.Expect(c.servers[1].Published()).To(BeTrue(), step)
	}
	c.Apply(2*second, 2*second, 2*second, fromStore(&Change{Revision: 11, Servers: []Server{odd}}))
	expectReal("entry under the other key")
	c.Apply(3*second, 3*second, 3*second, fromStore(&Change{Revision: 12, Removed: []Removal{{ID: 1, Name: "j/1", Revision: 12}}}))
	expectReal("removal of the other key")
	odd.Revision = 13
	c.Apply(4*second, 4*second, 4*second, fromStore(fullChange(13, nil, odd, real, server(2, 4))))
	expectReal("full list with both")
	c.Apply(5*second, 5*second, 5*second, fromStore(&Change{Revision: 14, Removed: []Removal{{ID: 1, Name: real.Name, Revision: 14}}}))
	g.Expect(c.servers[1].Published()).To(BeFalse())
}

// Guards against a server that is never removed because another key has its ID.
func TestServerIsMissingAlthoughAnotherKeyHasItsID(t *testing.T) {
	g := NewWithT(t)
	odd := server(1, 11)
	odd.Name, odd.Addr = "j/1", netip.MustParseAddrPort("10.9.9.9:9")
	c := New()
	c.Apply(second, second, second, fromStore(fullChange(10, config(1, "1.1.1.1:80"), server(1, 3), server(2, 4))))
	c.Apply(2*second, 2*second, 2*second, fromStore(fullChange(11, nil, odd, server(2, 4))))
	g.Expect(c.servers[1].Name).To(Equal("j/1"))
	g.Expect(c.servers[1].Addr).To(Equal(odd.Addr))
	// A follower takes over what its source has.
	f := New()
	f.Apply(second, second, second, fullChange(10, config(1, "1.1.1.1:80"), server(1, 3), server(2, 4)))
	f.Apply(2*second, 2*second, 2*second, c.Since(2*second, Position{Revision: 10}, 1, true))
	g.Expect(f.servers[1].Name).To(Equal("j/1"))
}

func unnamedServer(id ServerID, rev Revision, addr netip.AddrPort) Server {
	s := server(id, rev)
	s.Service, s.Addr = "unnamed", addr
	return s
}

// Guards against an entry of a service that no configuration names that takes the
// address of a server, whose open flows would be reset and which would get no new ones.
func TestServerOfUnnamedServiceTakesNoAddress(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.Apply(second, second, second, fullChange(10, config(1, "1.1.1.1:80"), server(1, 3), server(2, 4)))
	addr := c.servers[1].Addr
	c.Apply(2*second, 2*second, 2*second, &Change{Revision: 12, Servers: []Server{unnamedServer(7, 12, addr)}})
	g.Expect(c.Presence(c.servers[1])).To(Equal(Listed))
	g.Expect(serverIDs(c.ServersOf("feed"))).To(ConsistOf(ServerID(1), ServerID(2)))
	// A server that is published later does not take it away for good either.
	c.Apply(3*second, 3*second, 3*second, &Change{Revision: 13, Servers: []Server{server(1, 13)}})
	g.Expect(c.Presence(c.servers[7])).To(Equal(Listed))
	// The same before the first configuration.
	c = New()
	c.AddPartial(second, &Change{Servers: []Server{server(1, 3), unnamedServer(7, 12, addr)}})
	c.Apply(second, second, second, fullChange(13, config(1, "1.1.1.1:80"), server(1, 3), unnamedServer(7, 12, addr)))
	g.Expect(c.Presence(c.servers[1])).To(Equal(Listed))
}

// Guards against a server that stays out of use because its entry was written before
// the configuration that names its service.
func TestServiceIsNamedAfterItsServers(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.Apply(second, second, second, fullChange(10, config(1, "1.1.1.1:80"), server(1, 3)))
	addr := c.servers[1].Addr
	c.Apply(2*second, 2*second, 2*second, &Change{Revision: 12, Servers: []Server{unnamedServer(7, 12, addr)}})
	next := config(2, "1.1.1.1:80", "2.2.2.2:80")
	next.Routes[1].Targets[0].Service = "unnamed"
	before := c.ChangeCount()
	// The servers of the change are older than the known ones, the configuration is not.
	g.Expect(c.Apply(3*second, 3*second, 3*second, &Change{Revision: 11, Config: next}).Stale).To(BeTrue())
	g.Expect(c.ChangeCount()).To(BeNumerically(">", before))
	g.Expect(serverIDs(c.ServersOf("unnamed"))).To(ConsistOf(ServerID(7)))
	g.Expect(c.Presence(c.servers[1])).To(Equal(AddressTaken), "its address is that of a server of a named service now")
}

// Guards against an entry of an unnamed service under the key of a server: the packets
// of its open flows would be dropped as those of another service.
func TestServerGetsEntryOfUnnamedService(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.Apply(second, second, second, fullChange(10, config(1, "1.1.1.1:80"), server(1, 3), server(2, 4)))
	odd := unnamedServer(1, 12, netip.MustParseAddrPort("10.9.9.9:9"))
	addr := c.servers[1].Addr
	for at := 2 * second; at < 4*second; at += second {
		c.Apply(at, at, at, &Change{Revision: 12, Servers: []Server{odd}})
		s := c.ByToken(token.ForServer(1))
		g.Expect(s.Service).To(Equal("feed"))
		g.Expect(s.Addr).To(Equal(addr))
		g.Expect(c.Presence(s)).To(Equal(Unlisted))
	}
	f := New()
	f.Apply(second, second, second, fullChange(10, config(1, "1.1.1.1:80"), server(1, 3), server(2, 4)))
	f.Apply(4*second, 4*second, 4*second, c.Since(4*second, Position{Revision: 10}, 1, true))
	g.Expect(f.servers[1].Published()).To(BeFalse())
	c.Apply(5*second, 5*second, 5*second, &Change{Revision: 13, Servers: []Server{server(1, 13)}})
	g.Expect(serverIDs(c.ServersOf("feed"))).To(ConsistOf(ServerID(1), ServerID(2)))
}

// Guards against an entry of an unnamed service that keeps out a server with its ID
// because its key comes first in the list.
func TestUnnamedServiceUnderFirstKeyOfAnID(t *testing.T) {
	g := NewWithT(t)
	odd := unnamedServer(1, 11, netip.MustParseAddrPort("10.9.9.9:9"))
	odd.Name = "-1"
	c := New()
	c.AddPartial(second, fromStore(&Change{Config: config(1, "1.1.1.1:80"), Servers: []Server{odd, server(1, 3), server(2, 4)}}))
	g.Expect(serverIDs(c.ServersOf("feed"))).To(ConsistOf(ServerID(1), ServerID(2)))
	c.Apply(second, second, second, fromStore(fullChange(12, nil, odd, server(1, 3), server(2, 4))))
	g.Expect(serverIDs(c.ServersOf("feed"))).To(ConsistOf(ServerID(1), ServerID(2)))
	c.Apply(second, second, second, fromStore(&Change{Revision: 13, Removed: []Removal{{ID: 1, Name: "-1", Revision: 13}}}))
	g.Expect(serverIDs(c.ServersOf("feed"))).To(ConsistOf(ServerID(1), ServerID(2)))
}

// Guards against a server that gets new flows although a page that is read again, before
// the full list, has an entry of an unnamed service under its key.
func TestPartialListEndsServer(t *testing.T) {
	g := NewWithT(t)
	c := New()
	c.AddPartial(second, fromStore(&Change{Config: config(1, "1.1.1.1:80"), Servers: []Server{server(1, 3), server(2, 4)}}))
	odd := unnamedServer(1, 11, netip.MustParseAddrPort("10.9.9.9:9"))
	c.AddPartial(second, fromStore(&Change{Servers: []Server{odd, server(2, 4)}}))
	g.Expect(serverIDs(c.ServersOf("feed"))).To(ConsistOf(ServerID(2)))
}

// Guards against a follower that takes the token of a running server for unknown, since the server's entry came and went between two updates.
func TestFollowerLearnsOfServersThatCameAndWent(t *testing.T) {
	g := NewWithT(t)
	source, follower := New(), New()
	for _, c := range []*Catalog{source, follower} {
		c.Apply(second, second, second, &Change{Revision: 1, Full: true, Config: config(1)})
	}
	source.Apply(2*second, 2*second, second, &Change{
		Revision: 3, Servers: []Server{server(7, 2)}, Removed: []Removal{{ID: 7, Revision: 3}},
	})
	follower.Apply(2*second, 2*second, second, source.Since(2*second, follower.Position(), 1, false))
	for _, c := range []*Catalog{source, follower} {
		s := c.ByToken(token.ForServer(7))
		g.Expect(s).NotTo(BeNil())
		g.Expect(s.Published()).To(BeFalse())
	}
}
