package engine

import (
	"container/heap"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// world simulates the network between engines, callers and hosts in one process. It is
// an event queue in virtual time; all randomness comes from one seed.
type world struct {
	t          testLogger
	rng        *rand.Rand
	now        time.Duration
	queue      events
	seq        int
	nodes      []*node
	hosts      map[snapshot.HostID]*hostTCP
	callers    map[flow.Key]*caller
	allCallers []*caller

	input       snapshot.Input // last published input
	published   map[snapshot.Version]snapshot.Input
	built       map[buildKey]*snapshot.Snapshot
	drainedIn   map[snapshot.HostID]snapshot.Version
	loss        lossRates
	cut         map[[2]snapshot.DomainID]bool
	platformCut map[snapshot.DomainID]bool // domains cut off from the platform
	nextInst    snapshot.InstanceID
	nextHost    snapshot.HostID
	nextPort    uint16

	heartbeatsLost    map[[2]snapshot.InstanceID]int // heartbeats lost in a row, by sender and receiver
	claims            map[snapshot.GroupID]heldClaim // owners found by the last checkOwners
	accepted          map[request][]snapshot.HostID
	refused           map[request]bool
	verdicts          map[string]int
	broken            int
	opened            int
	answered          int
	acceptedByService map[snapshot.ServiceID]int
}

// buildKey identifies a built snapshot. A snapshot depends on its version and on the
// previous snapshot, from which it takes the earlier rankings.
type buildKey struct {
	version snapshot.Version
	base    *snapshot.Snapshot
}

// heldClaim is the claim of an owner to a group.
type heldClaim struct {
	owner snapshot.InstanceID
	epoch uint64
}

// lossRates are the fractions of datagrams that are lost. If tolerable is set, no pair of
// instances loses more than two heartbeats in a row, which the membership tolerates; a
// third loss would make it suspect an instance that is alive.
type lossRates struct {
	data, control float64
	tolerable     bool
}

type testLogger interface {
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (q events) Len() int { return len(q) }

func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// node is one instance.
type node struct {
	w       *world
	id      snapshot.InstanceID
	domain  snapshot.DomainID
	start   time.Duration
	engine  *Engine
	dead    bool
	paused  bool
	leaving bool
	leftAt  time.Duration // when LeaveDone became true, 0 before
	inbox   []func()
	version snapshot.Version
}

func newWorld(t testLogger, seed uint64, in snapshot.Input) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)),
		hosts: make(map[snapshot.HostID]*hostTCP), callers: make(map[flow.Key]*caller),
		published: make(map[snapshot.Version]snapshot.Input),
		built:     make(map[buildKey]*snapshot.Snapshot),
		drainedIn: make(map[snapshot.HostID]snapshot.Version),
		cut:       make(map[[2]snapshot.DomainID]bool), platformCut: make(map[snapshot.DomainID]bool),
		accepted: make(map[request][]snapshot.HostID), refused: make(map[request]bool),
		verdicts: make(map[string]int), acceptedByService: make(map[snapshot.ServiceID]int),
		nextPort: 1000, heartbeatsLost: make(map[[2]snapshot.InstanceID]int), claims: make(map[snapshot.GroupID]heldClaim),
	}
	w.input = in
	w.published[in.Version] = in
	for _, h := range in.Hosts {
		w.addHostTCP(h)
	}
	for _, inst := range in.Instances {
		w.nextInst = max(w.nextInst, inst.ID)
		w.startNode(inst.ID, inst.Domain)
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, run})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

func (w *world) randomly(p float64) bool { return w.rng.Float64() < p }

func (w *world) delay(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)+1))
}

// send delivers a datagram from one domain to another, unless it is lost.
func (w *world) send(from, to snapshot.DomainID, lost float64, run func()) {
	if w.cut[[2]snapshot.DomainID{from, to}] || w.randomly(lost) {
		return
	}
	lo, hi := time.Millisecond, 2*time.Millisecond
	if from != to {
		lo, hi = 4*time.Millisecond, 9*time.Millisecond
	}
	w.after(w.delay(lo, hi), run)
}

// heartbeatLoss returns the probability that the next heartbeat between two instances is
// lost.
func (w *world) heartbeatLoss(from, to snapshot.InstanceID) float64 {
	pair := [2]snapshot.InstanceID{from, to}
	if !w.loss.tolerable {
		return w.loss.control
	}
	if w.heartbeatsLost[pair] < 2 && w.randomly(w.loss.control) {
		w.heartbeatsLost[pair]++
		return 1
	}
	w.heartbeatsLost[pair] = 0
	return 0
}

func (w *world) node(id snapshot.InstanceID) *node {
	for _, n := range w.nodes {
		if n.id == id && !n.dead {
			return n
		}
	}
	return nil
}

func (w *world) liveNodes() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.dead })
}

func (w *world) startNode(id snapshot.InstanceID, d snapshot.DomainID) *node {
	n := &node{w: w, id: id, domain: d, start: w.now}
	n.engine = New(0, Config{
		Self: id, Domain: d, Boot: uint64(w.now) + 1, Seed: w.rng.Uint64(),
	})
	w.nodes = append(w.nodes, n)
	n.deliverVersion(w.input.Version)
	w.after(w.delay(0, TickInterval), n.tick)
	w.after(w.delay(0, time.Second), n.probe)
	return n
}

// deliver runs f at the node at once, or after the pause if the node is paused.
func (n *node) deliver(f func()) {
	switch {
	case n.dead:
	case n.paused:
		n.inbox = append(n.inbox, f)
	default:
		f()
	}
}

func (n *node) time() time.Duration { return n.w.now - n.start }

func (n *node) pause(d time.Duration) {
	if n.paused {
		return
	}
	n.paused = true
	n.w.after(d, func() {
		n.paused = false
		if n.dead {
			return
		}
		if n.w.randomly(0.5) {
			n.tickEngine()
		}
		inbox := n.inbox
		n.inbox = nil
		for _, f := range inbox {
			n.deliver(f)
		}
	})
}

func (n *node) tick() {
	if n.dead {
		return
	}
	if !n.paused {
		n.tickEngine()
	}
	n.w.after(n.w.delay(45*time.Millisecond, 55*time.Millisecond), n.tick)
}

func (n *node) tickEngine() {
	for _, o := range n.engine.Tick(n.time()) {
		n.execute(o)
	}
	if n.leaving && n.engine.LeaveDone(n.time()) {
		n.stop()
	}
}

// stop completes a graceful stop: the instance is removed from the published list, and the
// process exits some time later.
func (n *node) stop() {
	if n.leftAt != 0 {
		return
	}
	n.leftAt = n.w.now
	n.w.publish(func(in *snapshot.Input) {
		in.Instances = slices.DeleteFunc(slices.Clone(in.Instances), func(i snapshot.Instance) bool { return i.ID == n.id })
	})
	n.w.after(3*time.Second, func() { n.dead = true })
}

func (n *node) execute(o Output) {
	w := n.w
	switch {
	case o.Reset != nil:
		w.reset(*o.Reset)
		return
	case o.To == nil:
		w.t.Fatalf("output without To: %+v", o)
	}
	to := w.node(o.To.ID)
	if to == nil {
		if o.Pull != nil {
			w.after(time.Second, func() { n.deliver(func() { n.pullDone(o.Pull, nil, errors.New("refused")) }) })
		}
		return
	}
	switch {
	case o.Heartbeat != nil:
		w.send(n.domain, to.domain, w.heartbeatLoss(n.id, to.id), func() { to.deliver(func() { to.engine.Heartbeat(to.time(), o.Heartbeat) }) })
	case o.Learn != nil:
		w.send(n.domain, to.domain, w.loss.control, func() { to.deliver(func() { to.engine.Learn(to.time(), o.Learn) }) })
	case o.Copies != nil:
		w.send(n.domain, to.domain, w.loss.control, func() { to.deliver(func() { to.copyBatch(n, o.Copies) }) })
	case o.Pull != nil:
		n.call(to, func() (any, error) { return to.engine.Pull(to.time(), o.Pull) }, func(reply any, err error) {
			if r, ok := reply.(message.PullReply); ok && err == nil {
				n.pullDone(o.Pull, &r, nil)
			} else {
				n.pullDone(o.Pull, nil, err)
			}
		})
	case o.Fetch:
		n.call(to, func() (any, error) { return to.version, nil }, func(v any, err error) {
			if err == nil {
				n.installVersion(v.(snapshot.Version))
			}
		})
	}
}

func (n *node) pullDone(r *message.PullRequest, reply *message.PullReply, err error) {
	n.engine.PullDone(n.time(), r, reply, err)
}

func (n *node) copyBatch(from *node, b *message.CopyBatch) {
	if ack, ok := n.engine.CopyBatch(n.time(), b); ok {
		n.w.send(n.domain, from.domain, n.w.loss.control, func() {
			from.deliver(func() { from.engine.CopyAck(from.time(), &ack) })
		})
	}
}

// call is an RPC over TCP: packet loss only delays it, a cut in either direction fails it.
func (n *node) call(to *node, serve func() (any, error), done func(any, error)) {
	w := n.w
	fail := func() { w.after(time.Second, func() { n.deliver(func() { done(nil, errors.New("timed out")) }) }) }
	if w.cut[[2]snapshot.DomainID{n.domain, to.domain}] {
		fail()
		return
	}
	w.after(w.delay(time.Millisecond, 20*time.Millisecond), func() {
		if to.dead {
			fail()
			return
		}
		to.deliver(func() {
			reply, err := serve()
			if w.cut[[2]snapshot.DomainID{to.domain, n.domain}] {
				fail()
				return
			}
			w.after(w.delay(time.Millisecond, 20*time.Millisecond), func() {
				n.deliver(func() { done(reply, err) })
			})
		})
	})
}

func (n *node) probe() {
	if n.dead {
		return
	}
	if !n.paused {
		for _, h := range n.engine.ProbeTargets(n.time()) {
			tcp := n.w.hosts[h.ID]
			failed := tcp.dead || n.w.cut[[2]snapshot.DomainID{n.domain, h.Domain}]
			n.engine.Report(n.time(), h.ID, message.LoadReport{ProbeFailed: failed})
		}
	}
	n.w.after(time.Second, n.probe)
}

// publish creates a new version, which reaches each instance after a random delay.
func (w *world) publish(change func(*snapshot.Input)) {
	in := w.input
	in.Version++
	change(&in)
	w.input = in
	w.published[in.Version] = in
	for _, n := range w.liveNodes() {
		n.deliverVersion(in.Version)
	}
}

func (n *node) deliverVersion(v snapshot.Version) {
	n.w.after(n.w.delay(5*time.Millisecond, 600*time.Millisecond), func() {
		if !n.w.platformCut[n.domain] {
			n.deliver(func() { n.installVersion(v) })
		}
	})
}

// installVersion builds the version on top of the node's current snapshot and puts it in
// force.
func (n *node) installVersion(v snapshot.Version) {
	old := n.engine.Snapshot()
	at := buildKey{v, old}
	s := n.w.built[at]
	if s == nil {
		var err error
		if s, err = snapshot.New(n.w.published[v], old); err != nil {
			n.w.t.Fatalf("version %d: %v", v, err)
		}
		n.w.built[at] = s
	}
	taken := n.engine.SetSnapshot(n.time(), s)
	now := n.engine.Snapshot().Version
	if now < n.version || taken != (v > n.version) {
		n.w.t.Fatalf("instance %d: version went from %d to %d on receipt of version %d", n.id, n.version, now, v)
	}
	n.version = now
}

// oldestVersion returns the oldest version in force at a live instance.
func (w *world) oldestVersion() snapshot.Version {
	v := w.input.Version
	for _, n := range w.liveNodes() {
		v = min(v, n.version)
	}
	return v
}
