package edge

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/gravitational/trace"
)

// Second bytes of the addresses of cities without instances.
const (
	firstNet = 40
	lastNet  = 79
)

// emptyCity returns a city without instances and callers, at addresses that no test
// of another working copy uses at the same time.
func emptyCity(t *testing.T) *City {
	t.Helper()
	var c *City
	t.Cleanup(func() { // runs after the city is closed
		if c == nil {
			return
		}
		for _, v := range c.Violations() {
			t.Error(v)
		}
	})
	c = uncheckedCity(t)
	return c
}

// uncheckedCity is an emptyCity that may have violations.
func uncheckedCity(t *testing.T, shapes ...func(*Config)) *City {
	t.Helper()
	cfg := DefaultConfig()
	cfg.Instances, cfg.Callers = 0, 0
	for _, shape := range shapes {
		shape(&cfg)
	}
	var err error
	for cfg.Net = firstNet; cfg.Net <= lastNet; cfg.Net++ {
		var c *City
		if c, err = New(cfg); err == nil {
			t.Cleanup(c.Close)
			return c
		}
	}
	t.Fatal(err)
	return nil
}

// entryOf returns the state in the entry of a server, "" without one, and its start.
func entryOf(t *testing.T, s *Server) (state string, born int64) {
	t.Helper()
	value := s.city.Store.value("servers/" + s.name())
	if value == nil {
		return "", 0
	}
	var e struct {
		State string `json:"state"`
		Born  int64  `json:"born"`
	}
	if err := json.Unmarshal(value, &e); err != nil {
		t.Fatal(err)
	}
	return e.State, e.Born
}

func states(t *testing.T, c *City) map[string]int {
	n := make(map[string]int)
	for _, s := range c.Servers() {
		state, _ := entryOf(t, s)
		n[state]++
	}
	return n
}

// Guards against entries that stay while servers cannot reach the store, or that
// are missing for longer than a heartbeat afterwards, and against heartbeats that
// change the store without need.
func TestServersWriteLapsedEntriesAgain(t *testing.T) {
	t.Parallel()
	c := emptyCity(t)
	all := len(c.Servers())
	before := ask(t, c.Store, "kv-range?prefix=op")
	time.Sleep(2 * checkIn)
	expect(t, "revision after heartbeats", ask(t, c.Store, "kv-range?prefix=op"), before)
	end := c.Store.Begin(Fault{Status: 503, Away: true})
	leaving := c.Servers()[0]
	if err := leaving.Drain(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(lapseAfter + 500*time.Millisecond)
	expect(t, "without an entry", states(t, c)[""], all)
	expect(t, "has its report accepted", !leaving.reportTime().IsZero(), false)
	end()
	time.Sleep(checkIn + 500*time.Millisecond)
	expect(t, "ready", states(t, c)["ready"], all-1)
	expect(t, "draining", states(t, c)["draining"], 1)
	expect(t, "has its report accepted", !leaving.reportTime().IsZero(), true)
}

// Guards against servers that do not write again what a restore lost, and against
// bounds that count from an acknowledgement that was lost, or that do not from one
// that was kept.
func TestServersWriteLostEntriesAgain(t *testing.T) {
	t.Parallel()
	c := emptyCity(t)
	servers := c.Servers()
	kept, lost, ended, restarted := servers[0], servers[1], servers[2], servers[3]
	drain := func(s *Server) time.Time {
		if err := s.Drain(); err != nil {
			t.Fatal(err)
		}
		return s.reportTime()
	}
	if err := c.Configure(c.Dest(Feed), c.ExtraDest(0), c.ExtraDest(1)); err != nil {
		t.Fatal(err)
	}
	if err := c.Configure(c.Dest(Feed), c.ExtraDest(1)); err != nil {
		t.Fatal(err)
	}
	keptAt, routeKeptAt := drain(kept), c.removedAt(c.ExtraDest(0))
	time.Sleep(200 * time.Millisecond)
	copied := time.Now()
	time.Sleep(200 * time.Millisecond)
	drain(lost)
	ended.Leave()
	if err := c.Configure(c.Dest(Feed)); err != nil {
		t.Fatal(err)
	}
	next, err := restarted.Restart(0)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	c.RestoreStore(Fault{Status: 503}, 100*time.Millisecond, time.Since(copied)+100*time.Millisecond)
	back := time.Now()
	state, _ := entryOf(t, ended)
	expect(t, "entry of the server that left", state, "ready")
	time.Sleep(checkIn + 500*time.Millisecond)
	for s, want := range map[*Server]string{kept: "draining", lost: "draining", next: "ready"} {
		state, born := entryOf(t, s)
		expect(t, "state of "+s.name(), state, want)
		expect(t, "start of "+s.name(), born, s.born)
	}
	expect(t, "time of the kept report", kept.reportTime(), keptAt)
	expect(t, "the lost report counts from after the restore", lost.reportTime().After(back), true)
	c.ConfigureAgain()
	expect(t, "time of the kept removal", c.removedAt(c.ExtraDest(0)), routeKeptAt)
	expect(t, "the lost removal counts from after the restore", c.removedAt(c.ExtraDest(1)).After(back), true)
	time.Sleep(lapseAfter - checkIn)
	state, _ = entryOf(t, ended)
	expect(t, "entry of the server that left, after three heartbeats", state, "")
}

func (s *Server) reportTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reported
}

func (c *City) removedAt(dest netip.AddrPort) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routes[dest].removed
}

// Guards against planned restarts that keep the entry while the server is away, that
// change its ID, or that do not move it.
func TestRestartDrained(t *testing.T) {
	for _, moves := range []bool{false, true} {
		t.Run(fmt.Sprintf("moves=%t", moves), func(t *testing.T) {
			t.Parallel()
			c := emptyCity(t)
			old := c.Servers()[0]
			all := len(c.Servers())
			const serves, away = 300 * time.Millisecond, 400 * time.Millisecond
			restarted := make(chan *Server)
			go func() {
				next, err := old.RestartDrained(serves, away, moves)
				if err != nil {
					t.Error(err)
				}
				restarted <- next
			}()
			time.Sleep(serves / 2)
			state, _ := entryOf(t, old)
			expect(t, "state while it serves", state, "draining")
			time.Sleep(serves/2 + away/2)
			state, _ = entryOf(t, old)
			expect(t, "state while it is away", state, "")
			expect(t, "servers while it is away", len(c.Servers()), all-1)
			next := <-restarted
			state, born := entryOf(t, next)
			expect(t, "state after the restart", state, "ready")
			expect(t, "start", born, next.born)
			expect(t, "ID", next.ID, old.ID)
			expect(t, "has another address", next.Addr != old.Addr, moves)
			if _, err := old.RestartDrained(0, 0, moves); !trace.IsNotFound(err) {
				t.Errorf("restart of a server that has ended: %v", err)
			}
		})
	}
}
