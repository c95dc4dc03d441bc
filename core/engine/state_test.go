package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egrettack.example/core/flow"
	"egrettack.example/core/snapshot"
)

// Endpoints used by the tests. The endpoint moving changes its service.
var (
	feed   = snapshot.Endpoint{Addr: 1, Port: 80, Proto: flow.TCP}
	lookup = snapshot.Endpoint{Addr: 1, Port: 81, Proto: flow.TCP}
	upload = snapshot.Endpoint{Addr: 2, Port: 80, Proto: flow.TCP}
	moving = snapshot.Endpoint{Addr: 3, Port: 80, Proto: flow.TCP}
)

func newKind(id snapshot.KindID, o snapshot.Occupancy, e ...snapshot.Endpoint) *snapshot.Kind {
	return &snapshot.Kind{
		ID: id, Name: fmt.Sprint("kind", id), Class: uint8(id), Share: 0.2, Ceiling: 1, Occupies: o,
		Deadline: time.Second, ServiceTime: 20 * time.Millisecond, IdleTimeout: 40 * time.Second, Endpoints: e,
	}
}

func newServices(moved bool) []snapshot.Service {
	one := []*snapshot.Kind{newKind(1, snapshot.OccupiesConnection, feed), newKind(2, snapshot.OccupiesSlot, lookup)}
	two := []*snapshot.Kind{newKind(1, snapshot.OccupiesSlot, upload)}
	if move := newKind(3, snapshot.OccupiesConnection, moving); moved {
		two = append(two, move)
	} else {
		one = append(one, move)
	}
	return []snapshot.Service{{ID: 1, Name: "register", Kinds: one}, {ID: 2, Name: "intake", Kinds: two}}
}

func newHost(id snapshot.HostID, d snapshot.DomainID, s snapshot.ServiceID) snapshot.Host {
	return snapshot.Host{ID: id, Name: fmt.Sprint("h", id), Domain: d, Service: s, Slots: 2, QueueLimit: 2, ConnectionLimit: 200}
}

func initialInput(domains, instances, hosts int) snapshot.Input {
	in := snapshot.Input{Version: 1, GroupSize: 2, Services: newServices(false)}
	for d := range domains {
		id := snapshot.DomainID(d + 1)
		in.Domains = append(in.Domains, snapshot.Domain{ID: id, Name: fmt.Sprint("d", id)})
		for range instances {
			in.Instances = append(in.Instances, snapshot.Instance{ID: snapshot.InstanceID(len(in.Instances) + 1), Domain: id})
		}
		for range hosts {
			in.Hosts = append(in.Hosts, newHost(snapshot.HostID(len(in.Hosts)+1), id, 1))
		}
		for range 2 {
			in.Hosts = append(in.Hosts, newHost(snapshot.HostID(len(in.Hosts)+1), id, 2))
		}
	}
	return in
}

// step is one action of a test run.
type step struct {
	Do   string
	Pick int // selects the object of the action
	Gap  int // milliseconds until the next step
}

var plannedSteps = []string{"leave", "join", "drain", "undrain", "add host", "remove host", "settings"}

var faultSteps = append([]string{
	"kill", "kill", "pause", "pause", "cut", "heal", "one way", "no platform", "platform", "loss", "host dies", "move",
}, plannedSteps...)

func drawSteps(t *rapid.T, from []string, maxSteps int) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Do:   rapid.SampledFrom(from).Draw(t, "do"),
			Pick: rapid.IntRange(0, 50).Draw(t, "pick"),
			Gap:  rapid.IntRange(0, 3000).Draw(t, "gap"),
		}
	}), 1, maxSteps).Draw(t, "steps")
}

func pick[T any](list []T, n int) (T, bool) {
	var none T
	if len(list) == 0 {
		return none, false
	}
	return list[n%len(list)], true
}

func (w *world) perform(s step) {
	switch s.Do {
	case "leave":
		w.leave(s.Pick)
	case "join":
		d := w.input.Domains[s.Pick%len(w.input.Domains)].ID
		w.nextInst++
		id := w.nextInst
		w.publish(func(in *snapshot.Input) {
			in.Instances = append(slices.Clone(in.Instances), snapshot.Instance{ID: id, Domain: d})
		})
		w.startNode(id, d)
	case "drain", "undrain":
		w.drain(s.Pick, s.Do == "drain")
	case "add host":
		d := w.input.Domains[s.Pick%len(w.input.Domains)].ID
		h := newHost(w.nextHost+1, d, 1)
		w.addHostTCP(h)
		w.publish(func(in *snapshot.Input) { in.Hosts = append(slices.Clone(in.Hosts), h) })
	case "remove host":
		w.removeHost(s.Pick)
	case "settings":
		w.publish(func(*snapshot.Input) {})
	case "move":
		moved := serviceOf(w.input, moving) == 1
		w.publish(func(in *snapshot.Input) { in.Services = newServices(moved) })
	default:
		w.injectFault(s)
	}
}

// injectFault performs a step that is not in plannedSteps.
func (w *world) injectFault(s step) {
	a := w.input.Domains[s.Pick%len(w.input.Domains)].ID
	b := w.input.Domains[(s.Pick/3+1)%len(w.input.Domains)].ID
	n, _ := pick(w.liveNodes(), s.Pick)
	switch s.Do {
	case "kill":
		// Keep two instances that run since the start. If all of them were gone, no
		// instance might know of an earlier move.
		if old := slices.DeleteFunc(w.liveNodes(), func(n *node) bool { return n.start > 0 }); len(old) > 2 || n.start > 0 {
			n.dead = true
			w.after(2*time.Second, func() {
				w.publish(func(in *snapshot.Input) {
					in.Instances = slices.DeleteFunc(slices.Clone(in.Instances), func(i snapshot.Instance) bool { return i.ID == n.id })
				})
			})
		}
	case "pause":
		n.pause(w.delay(100*time.Millisecond, 5*time.Second))
	case "cut":
		w.cut[[2]snapshot.DomainID{a, b}], w.cut[[2]snapshot.DomainID{b, a}] = a != b, a != b
	case "one way":
		w.cut[[2]snapshot.DomainID{a, b}] = a != b
	case "heal":
		clear(w.cut)
		w.loss = lossRates{data: 0.01, control: 0.01}
	case "no platform":
		w.platformCut[a] = true
	case "platform":
		w.healPlatform()
	case "loss":
		w.loss = lossRates{data: 0.2, control: 0.2}
	case "host dies":
		if h, ok := pick(w.input.Hosts, s.Pick); ok && len(w.input.Hosts) > 4 {
			w.hosts[h.ID].dead = true
			w.after(3*time.Second, func() { w.dropHost(h.ID) })
		}
	}
}

func (w *world) healPlatform() {
	clear(w.platformCut)
	for _, n := range w.liveNodes() {
		n.deliverVersion(w.input.Version)
	}
}

func (w *world) leave(n int) {
	staying := slices.DeleteFunc(w.liveNodes(), func(n *node) bool { return n.leaving })
	if len(staying) < 2 {
		return
	}
	leaver, _ := pick(staying, n)
	leaver.deliver(func() {
		leaver.leaving = true
		leaver.engine.Leave(leaver.time())
	})
}

func (w *world) drain(n int, on bool) {
	list := slices.Clone(w.input.Hosts)
	i := n % len(list)
	left := 0
	for j, h := range list {
		if j != i && h.Service == list[i].Service && h.State == snapshot.HostReady {
			left++
		}
	}
	if on && left == 0 {
		return
	}
	list[i].State = snapshot.HostReady
	delete(w.drainedIn, list[i].ID)
	if on {
		list[i].State = snapshot.HostDraining
	}
	w.publish(func(in *snapshot.Input) { in.Hosts = list })
	if on {
		w.drainedIn[list[i].ID] = w.input.Version
	}
}

// removeHost removes a draining host without connections from the published hosts.
func (w *world) removeHost(n int) {
	var idle []snapshot.HostID
	for _, h := range w.input.Hosts {
		if h.State == snapshot.HostDraining && len(w.hosts[h.ID].conns) == 0 && w.oldestVersion() >= w.drainedIn[h.ID] {
			idle = append(idle, h.ID)
		}
	}
	if id, ok := pick(idle, n); ok {
		w.dropHost(id)
	}
}

func (w *world) dropHost(id snapshot.HostID) {
	w.publish(func(in *snapshot.Input) {
		in.Hosts = slices.DeleteFunc(slices.Clone(in.Hosts), func(h snapshot.Host) bool { return h.ID == id })
	})
}

// generateTraffic opens flows at random intervals.
func (w *world) generateTraffic(until time.Duration) {
	if w.now >= until {
		return
	}
	to := []snapshot.Endpoint{feed, feed, lookup, lookup, upload, moving}[w.rng.IntN(6)]
	w.open(to, to == lookup || to == upload || w.randomly(0.3))
	w.after(w.delay(5*time.Millisecond, 60*time.Millisecond), func() { w.generateTraffic(until) })
}

// healAndCheck ends all faults and checks that the instances converge.
func (w *world) healAndCheck() {
	clear(w.cut)
	w.loss = lossRates{}
	w.healPlatform()
	w.run(w.now + 12*time.Second)
	for _, n := range w.liveNodes() {
		if n.version != w.input.Version {
			w.t.Fatalf("instance %d has version %d after all faults ended, want %d", n.id, n.version, w.input.Version)
		}
	}
	w.checkOwners()
}

// checkOwners checks that each group has exactly one owner, and that the epoch has risen
// if the owner has changed since the last check.
func (w *world) checkOwners() {
	owners := make(map[snapshot.GroupID][]snapshot.InstanceID)
	for _, n := range w.liveNodes() {
		for _, g := range n.engine.Status(n.time()).Groups {
			if g.Role != "owner" {
				continue
			}
			owners[g.Group] = append(owners[g.Group], n.id)
			last := w.claims[g.Group]
			if last.owner != 0 && last.owner != n.id && g.Epoch <= last.epoch {
				w.t.Fatalf("group %s passed from instance %d to %d with epoch %d, want more than %d", g.Group, last.owner, n.id, g.Epoch, last.epoch)
			}
			w.claims[g.Group] = heldClaim{n.id, g.Epoch}
		}
	}
	for _, n := range w.liveNodes() {
		for id := range n.engine.Snapshot().Groups {
			if len(owners[id]) != 1 {
				w.t.Fatalf("group %s is owned by instances %v, want exactly one", id, owners[id])
			}
		}
	}
}

func (w *world) runSteps(steps []step) {
	w.run(4 * time.Second)
	length := 6 * time.Second
	for _, s := range steps {
		length += time.Duration(s.Gap) * time.Millisecond
	}
	end := w.now + length
	w.generateTraffic(end)
	w.run(w.now + 4*time.Second)
	for _, s := range steps {
		w.perform(s)
		w.run(w.now + time.Duration(s.Gap)*time.Millisecond)
	}
	w.run(end)
}

// Guards against flows that break or stall when an instance leaves or joins, or a host is
// drained or added, and against placing new flows on draining hosts.
func TestPlannedChangesBreakNoFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := newWorld(t, seed, initialInput(2, 3, 3))
		// Three lost segments in a row would make a flow look silent, and silent
		// flows are reset by design.
		w.loss = lossRates{data: 0.001, control: 0.03, tolerable: true}
		w.run(4 * time.Second)
		w.checkOwners()
		w.runSteps(drawSteps(t, plannedSteps, 8))
		w.healAndCheck()
		for _, c := range w.allCallers {
			switch {
			case c.state == broken && c.served:
				t.Fatalf("flow %v to service %d, opened at %v, broke at about %v", c.key, c.service, c.openedAt, c.lastAnswer)
			case c.state == gaveUp && c.served, c.state == open && w.now-c.lastAnswer > 5*time.Second:
				t.Fatalf("flow %v to service %d, opened at %v, has had no answer since %v", c.key, c.service, c.openedAt, c.lastAnswer)
			}
		}
		if w.answered == 0 {
			t.Fatalf("no flow was served: %v", w.verdicts)
		}
	})
}

// Guards against requests that are executed twice, refusals of requests that were
// executed, packets at hosts of another service, and snapshot versions that decrease,
// under any combination of faults.
func TestFaultsKeepGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := newWorld(t, seed, initialInput(2+int(seed%2), 2, 3))
		w.loss = lossRates{data: 0.01, control: 0.01}
		w.runSteps(drawSteps(t, faultSteps, 10))
		w.healAndCheck()
		if w.answered == 0 {
			t.Fatalf("no flow was served: %v", w.verdicts)
		}
	})
}

// Guards against resetting a flow because the instance that holds it was not asked. The
// asked instance suspected the holder wrongly, after two lost heartbeats, and reported
// that no instance holds the flow.
func TestWronglySuspectedHolderIsAsked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2, initialInput(2, 3, 3))
		w.loss = lossRates{data: 0.001, control: 0.03, tolerable: true}
		w.run(4 * time.Second)
		w.runSteps([]step{
			{"join", 1, 6}, {"undrain", 20, 2}, {"leave", 0, 129}, {"drain", 4, 1503}, {"add host", 40, 1266},
		})
		w.healAndCheck()
		for _, c := range w.allCallers {
			if c.state == broken && c.served {
				t.Fatalf("flow %v to service %d, opened at %v, broke at about %v", c.key, c.service, c.openedAt, c.lastAnswer)
			}
		}
	})
}
