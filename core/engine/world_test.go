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

// world passes messages between engines, callers and hosts in one process. It
// is a message queue in virtual time; all chance comes from one seed.
type world struct {
	t       failer
	rng     *rand.Rand
	now     time.Duration
	queue   events
	seq     int
	nodes   []*node
	hosts   map[snapshot.HostID]*hostTCP
	callers map[flow.Key]*caller
	all     []*caller

	input     snapshot.Input // as published last
	published map[snapshot.Version]snapshot.Input
	built     map[build]*snapshot.Snapshot
	drained   map[snapshot.HostID]snapshot.Version
	loss      losses
	cut       map[[2]snapshot.DomainID]bool
	noList    map[snapshot.DomainID]bool // domains cut from the platform
	nextInst  snapshot.InstanceID
	nextHost  snapshot.HostID
	nextPort  uint16

	lost      map[[2]snapshot.InstanceID]int // heartbeats in a row
	claims    map[snapshot.GroupID]held      // as seen by the last check
	accepted  map[request][]snapshot.HostID
	refused   map[request]bool
	verdicts  map[string]int
	broken    int
	opened    int
	answered  int
	fromHosts map[snapshot.ServiceID]int
}

// build identifies a snapshot: it depends on the version and on the one before,
// from which it takes the earlier rankings.
type build struct {
	version snapshot.Version
	on      *snapshot.Snapshot
}

// held is a claim that an instance holds.
type held struct {
	owner snapshot.InstanceID
	epoch uint64
}

// losses are the parts of datagrams that are lost. With tolerable, no pair of
// instances loses more than two heartbeats in a row, which the membership
// tolerates; a third makes it suspect an instance that is alive.
type losses struct {
	data, control float64
	tolerable     bool
}

type failer interface {
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
	gone    time.Duration // when a graceful stop may end, 0 before
	inbox   []func()
	version snapshot.Version
}

func newWorld(t failer, seed uint64, in snapshot.Input) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)),
		hosts: make(map[snapshot.HostID]*hostTCP), callers: make(map[flow.Key]*caller),
		published: make(map[snapshot.Version]snapshot.Input),
		built:     make(map[build]*snapshot.Snapshot),
		drained:   make(map[snapshot.HostID]snapshot.Version),
		cut:       make(map[[2]snapshot.DomainID]bool), noList: make(map[snapshot.DomainID]bool),
		accepted: make(map[request][]snapshot.HostID), refused: make(map[request]bool),
		verdicts: make(map[string]int), fromHosts: make(map[snapshot.ServiceID]int),
		nextPort: 1000, lost: make(map[[2]snapshot.InstanceID]int), claims: make(map[snapshot.GroupID]held),
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

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) delay(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)+1))
}

// send carries a datagram between domains; it may be lost.
func (w *world) send(from, to snapshot.DomainID, lost float64, run func()) {
	if w.cut[[2]snapshot.DomainID{from, to}] || w.chance(lost) {
		return
	}
	lo, hi := time.Millisecond, 2*time.Millisecond
	if from != to {
		lo, hi = 4*time.Millisecond, 9*time.Millisecond
	}
	w.after(w.delay(lo, hi), run)
}

// beatLoss decides on the loss of one heartbeat.
func (w *world) beatLoss(from, to snapshot.InstanceID) float64 {
	pair := [2]snapshot.InstanceID{from, to}
	if !w.loss.tolerable {
		return w.loss.control
	}
	if w.lost[pair] < 2 && w.chance(w.loss.control) {
		w.lost[pair]++
		return 1
	}
	w.lost[pair] = 0
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

func (w *world) live() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.dead })
}

func (w *world) startNode(id snapshot.InstanceID, d snapshot.DomainID) *node {
	n := &node{w: w, id: id, domain: d, start: w.now}
	n.engine = New(0, Config{
		Self: id, Domain: d, Boot: uint64(w.now) + 1, Seed: w.rng.Uint64(),
	})
	w.nodes = append(w.nodes, n)
	n.learnVersion(w.input.Version)
	w.after(w.delay(0, TickInterval), n.tick)
	w.after(w.delay(0, time.Second), n.probe)
	return n
}

// receive runs f at the node, or later if the node is paused.
func (n *node) receive(f func()) {
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
		if n.w.chance(0.5) {
			n.work()
		}
		inbox := n.inbox
		n.inbox = nil
		for _, f := range inbox {
			n.receive(f)
		}
	})
}

func (n *node) tick() {
	if n.dead {
		return
	}
	if !n.paused {
		n.work()
	}
	n.w.after(n.w.delay(45*time.Millisecond, 55*time.Millisecond), n.tick)
}

func (n *node) work() {
	for _, o := range n.engine.Tick(n.time()) {
		n.output(o)
	}
	if n.leaving && n.engine.LeaveDone(n.time()) {
		n.stop()
	}
}

// stop ends a graceful stop: the list drops the instance, and the process
// exits after that plus a margin.
func (n *node) stop() {
	if n.gone != 0 {
		return
	}
	n.gone = n.w.now
	n.w.publish(func(in *snapshot.Input) {
		in.Instances = slices.DeleteFunc(slices.Clone(in.Instances), func(i snapshot.Instance) bool { return i.ID == n.id })
	})
	n.w.after(3*time.Second, func() { n.dead = true })
}

func (n *node) output(o Output) {
	w := n.w
	switch {
	case o.Reset != nil:
		w.reset(*o.Reset)
		return
	case o.To == nil:
		w.t.Fatalf("output without receiver: %+v", o)
	}
	to := w.node(o.To.ID)
	if to == nil {
		if o.Pull != nil {
			w.after(time.Second, func() { n.receive(func() { n.pullDone(o.Pull, nil, errors.New("refused")) }) })
		}
		return
	}
	switch {
	case o.Heartbeat != nil:
		w.send(n.domain, to.domain, w.beatLoss(n.id, to.id), func() { to.receive(func() { to.engine.Heartbeat(to.time(), o.Heartbeat) }) })
	case o.Learn != nil:
		w.send(n.domain, to.domain, w.loss.control, func() { to.receive(func() { to.engine.Learn(to.time(), o.Learn) }) })
	case o.Copies != nil:
		w.send(n.domain, to.domain, w.loss.control, func() { to.receive(func() { to.copyBatch(n, o.Copies) }) })
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
				n.take(v.(snapshot.Version))
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
			from.receive(func() { from.engine.CopyAck(from.time(), &ack) })
		})
	}
}

// call is an rpc over TCP: loss only delays it, a cut on either way fails it.
func (n *node) call(to *node, serve func() (any, error), done func(any, error)) {
	w := n.w
	fail := func() { w.after(time.Second, func() { n.receive(func() { done(nil, errors.New("timed out")) }) }) }
	if w.cut[[2]snapshot.DomainID{n.domain, to.domain}] {
		fail()
		return
	}
	w.after(w.delay(time.Millisecond, 20*time.Millisecond), func() {
		if to.dead {
			fail()
			return
		}
		to.receive(func() {
			reply, err := serve()
			if w.cut[[2]snapshot.DomainID{to.domain, n.domain}] {
				fail()
				return
			}
			w.after(w.delay(time.Millisecond, 20*time.Millisecond), func() {
				n.receive(func() { done(reply, err) })
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

// publish makes a new version, which reaches each instance after a delay of its own.
func (w *world) publish(change func(*snapshot.Input)) {
	in := w.input
	in.Version++
	change(&in)
	w.input = in
	w.published[in.Version] = in
	for _, n := range w.live() {
		n.learnVersion(in.Version)
	}
}

func (n *node) learnVersion(v snapshot.Version) {
	n.w.after(n.w.delay(5*time.Millisecond, 600*time.Millisecond), func() {
		if !n.w.noList[n.domain] {
			n.receive(func() { n.take(v) })
		}
	})
}

// take builds the version on top of the node's own one and puts it into force.
func (n *node) take(v snapshot.Version) {
	old := n.engine.Snapshot()
	at := build{v, old}
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
		n.w.t.Fatalf("instance %d: version fell from %d to %d, or %d was taken wrongly", n.id, n.version, now, v)
	}
	n.version = now
}

// floor is the oldest version in force at an instance that is not dead.
func (w *world) floor() snapshot.Version {
	v := w.input.Version
	for _, n := range w.live() {
		v = min(v, n.version)
	}
	return v
}
