package edge

import (
	"testing"
	"time"

	"egrettack.example/core/catalog"
)

const (
	slowLink  = 2e6 / 8 // bytes per second of a link of 2 Mbit/s
	storeLink = 1e9 / 8 // bytes per second of the link of the store
)

// versionOf returns the version that a member has.
func (m *member) versionOf() catalog.Version {
	if m.dead {
		return 0
	}
	return m.catalog.Version()
}

// runUntilCurrent runs until all members have the last version, for the given time
// at most, and returns how long it took.
func (w *simulation) runUntilCurrent(within time.Duration) time.Duration {
	begin := w.now
	for w.now < begin+within {
		behind := 0
		for _, m := range w.members {
			if m.versionOf() < w.lastConfig().Version {
				behind++
			}
		}
		if behind == 0 {
			return w.now - begin
		}
		w.run(10 * time.Millisecond)
	}
	w.failf("after %s not all members have version %d", within, w.lastConfig().Version)
	return within
}

// Guards against a large configuration that no member can read because it takes
// longer over the members' links than a call may stay silent, against taking a
// store that sends it for lost, and against a restart of the fleet that takes
// several attempts to read it.
func TestBigConfigurationOverSlowLinks(t *testing.T) {
	w := newSimulation(24, 6, 1, t.Fatalf)
	w.applyWithin = 6 * time.Second
	w.linkRate, w.storeLink.rate = slowLink, storeLink
	w.run(15 * time.Second)
	for _, m := range w.members {
		if m.state.store.lost {
			t.Fatalf("%s has lost the store before the change", m.addr)
		}
	}
	w.publishRoutes(w.makeRoutes(1200))
	t.Logf("in force after %s", w.runUntilCurrent(w.applyWithin))
	w.run(5 * time.Second)
	for _, m := range w.members {
		if m.state.store != (storeState{}) {
			t.Errorf("%s took the store for lost", m.addr)
		}
	}
	for _, m := range w.members {
		m.dead = true
		w.after(time.Duration(w.random.IntN(300))*time.Millisecond, m.start)
	}
	// The configuration alone takes 1.3 s over the link of a member.
	const readyWithin = 1500*time.Millisecond + 300*time.Millisecond
	t.Logf("ready after %s", w.runUntilCurrent(readyWithin))
}

// Guards against a fleet that stays away for seconds after all its instances lost
// power, because all of them read a big catalog over the link of the store. The
// callers send a SYN for the last time after 600 ms.
func TestRestartOfALargeFleet(t *testing.T) {
	const (
		members, domains, largePerDomain = 295, 6, 3
		startSpread                      = 300 * time.Millisecond
		readyWithin                      = startSpread + 600*time.Millisecond
	)
	w := newSimulation(members, domains, 1, t.Fatalf)
	w.applyWithin = 6 * time.Second
	w.linkRate, w.largeLinkRate, w.storeLink.rate = 20e6/8, 200e6/8, storeLink
	w.serverBytes = 600 * 340
	for n := range domains * largePerDomain {
		w.members[n].large = true
	}
	w.publishRoutes(w.makeRoutes(1200))
	w.run(15 * time.Second)
	w.runUntilCurrent(w.applyWithin)
	calls := w.totalStoreCalls()
	for _, m := range w.members {
		m.dead = true
		w.after(time.Duration(w.random.IntN(int(startSpread))), m.start)
	}
	t.Logf("ready after %s", w.runUntilCurrent(readyWithin))
	// Each member may try the store once, and ten of the large ones go on.
	if got := w.totalStoreCalls() - calls; got > members+10 {
		t.Errorf("%d members made %d calls to the store", members, got)
	}
}
