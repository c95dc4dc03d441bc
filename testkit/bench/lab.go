package bench

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"egrettack.example/core/engine"
	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// Lab runs several engines in one process in virtual time. Messages take 1 ms
// within a domain and 5 ms between domains; packets take no time. All chance
// comes from the seed.
type Lab struct {
	Now   time.Duration
	Rand  *rand.Rand
	Nodes []*Node
	Input snapshot.Input
	// NoCopies keeps copies of entries from reaching their backup.
	NoCopies bool
	// Route decides on a packet that the fabric brings to a node; the engines
	// decide when it is nil.
	Route func(n *Node, p *flow.Packet) Result
	// CopyBytes is the estimated size on the wire of the copies sent, and
	// CopyEntries the number of entries in them.
	CopyBytes, CopyEntries int

	queue events
	seq   int
	snap  *snapshot.Snapshot
}

// Node is one instance.
type Node struct {
	lab    *Lab
	ID     snapshot.InstanceID
	Domain snapshot.DomainID
	Input  snapshot.Input // in force
	Engine *engine.Engine
	start  time.Duration
	dead   bool
	left   bool // gone from the list
	leaves bool
}

// Result is what became of a packet. Host is 0 when none got it.
type Result struct {
	Host   snapshot.HostID
	Reset  bool // the caller gets a reset
	Reason group.Reason
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

// NewLab starts all listed instances.
func NewLab(seed uint64, in snapshot.Input) (*Lab, error) {
	l := &Lab{Rand: rand.New(rand.NewPCG(seed, 2)), Input: in}
	s, err := snapshot.New(in, nil)
	if err != nil {
		return nil, err
	}
	l.snap = s
	for _, i := range in.Instances {
		l.boot(i.ID, i.Domain)
	}
	return l, nil
}

// After runs f at a later time.
func (l *Lab) After(d time.Duration, f func()) {
	l.seq++
	heap.Push(&l.queue, event{l.Now + d, l.seq, f})
}

// Run lets time pass.
func (l *Lab) Run(d time.Duration) {
	end := l.Now + d
	for len(l.queue) > 0 && l.queue[0].at <= end {
		e := heap.Pop(&l.queue).(event)
		l.Now = e.at
		e.run()
	}
	l.Now = end
}

func (l *Lab) boot(id snapshot.InstanceID, d snapshot.DomainID) {
	n := &Node{lab: l, ID: id, Domain: d, start: l.Now}
	n.Engine = engine.New(0, engine.Config{Self: id, Domain: d, Boot: uint64(l.Now) + 1, Seed: l.Rand.Uint64()})
	l.Nodes = append(l.Nodes, n)
	n.take(l.snap, l.Input)
	l.After(time.Duration(l.Rand.Int64N(int64(engine.TickInterval))), n.tick)
	l.After(time.Duration(l.Rand.Int64N(int64(time.Second))), n.probe)
}

func (n *Node) take(s *snapshot.Snapshot, in snapshot.Input) {
	if !n.dead && n.Engine.SetSnapshot(n.now(), s) {
		n.Input = in
	}
}

// Publish makes a new version, which reaches each instance within 600 ms.
func (l *Lab) Publish(change func(*snapshot.Input)) error {
	in := l.Input
	in.Hosts, in.Instances = slices.Clone(in.Hosts), slices.Clone(in.Instances)
	in.Version++
	change(&in)
	s, err := snapshot.New(in, l.snap)
	if err != nil {
		return err
	}
	l.snap, l.Input = s, in
	for _, n := range l.Nodes {
		l.After(time.Duration(l.Rand.Int64N(int64(600*time.Millisecond))), func() { n.take(s, in) })
	}
	return nil
}

// Join lists and starts a new instance.
func (l *Lab) Join(id snapshot.InstanceID, d snapshot.DomainID) error {
	err := l.Publish(func(in *snapshot.Input) {
		in.Instances = append(in.Instances, snapshot.Instance{ID: id, Domain: d})
	})
	l.boot(id, d)
	return err
}

// Leave stops an instance gracefully; it ends when its groups are handed over
// and the list no longer has it.
func (l *Lab) Leave(id snapshot.InstanceID) {
	n := l.node(id)
	n.leaves = true
	n.Engine.Leave(n.now())
}

// Kill ends an instance at once; the list drops it 3 s later.
func (l *Lab) Kill(id snapshot.InstanceID) {
	l.node(id).dead = true
	l.After(3*time.Second, func() { _ = l.unlist(id) })
}

func (l *Lab) unlist(id snapshot.InstanceID) error {
	return l.Publish(func(in *snapshot.Input) {
		in.Instances = slices.DeleteFunc(in.Instances, func(i snapshot.Instance) bool { return i.ID == id })
	})
}

func (l *Lab) node(id snapshot.InstanceID) *Node {
	for _, n := range l.Nodes {
		if n.ID == id && !n.dead {
			return n
		}
	}
	return nil
}

func (n *Node) now() time.Duration { return n.lab.Now - n.start }

func (n *Node) tick() {
	if n.dead {
		return
	}
	for _, o := range n.Engine.Tick(n.now()) {
		n.output(&o)
	}
	if n.leaves && !n.left && n.Engine.LeaveDone(n.now()) {
		n.left = true
		_ = n.lab.unlist(n.ID)
		n.lab.After(2*time.Second, func() { n.dead = true })
	}
	n.lab.After(engine.TickInterval, n.tick)
}

func (n *Node) probe() {
	if n.dead {
		return
	}
	for _, h := range n.Engine.ProbeTargets(n.now()) {
		n.Engine.Report(n.now(), h.ID, message.LoadReport{})
	}
	n.lab.After(time.Second, n.probe)
}

// send runs f at the receiver after the delay between the domains.
func (n *Node) send(to *Node, f func()) {
	d := time.Millisecond
	if to.Domain != n.Domain {
		d = 5 * time.Millisecond
	}
	n.lab.After(d, func() {
		if !to.dead {
			f()
		}
	})
}

func (n *Node) output(o *engine.Output) {
	if o.To == nil {
		return // resets go to callers that the benchmarks find out by their next packet
	}
	to := n.lab.node(o.To.ID)
	switch {
	case to == nil:
		if r := o.Pull; r != nil {
			n.lab.After(time.Second, func() { n.Engine.PullDone(n.now(), r, nil, errGone) })
		}
	case o.Heartbeat != nil:
		n.send(to, func() { to.Engine.Heartbeat(to.now(), o.Heartbeat) })
	case o.Learn != nil:
		n.send(to, func() { to.Engine.Learn(to.now(), o.Learn) })
	case o.Copies != nil && !n.lab.NoCopies:
		n.lab.CopyBytes += engine.CopyBatchSize(o.Copies)
		n.lab.CopyEntries += len(o.Copies.Entries)
		n.send(to, func() { to.copies(n, o.Copies) })
	case o.Pull != nil:
		n.send(to, func() {
			reply, err := to.Engine.Pull(to.now(), o.Pull)
			to.send(n, func() { n.Engine.PullDone(n.now(), o.Pull, &reply, err) })
		})
	case o.Fetch:
		n.send(to, func() { n.take(n.lab.snap, n.lab.Input) })
	}
}

func (n *Node) copies(from *Node, b *message.CopyBatch) {
	if ack, ok := n.Engine.CopyBatch(n.now(), b); ok {
		n.send(from, func() { from.Engine.CopyAck(from.now(), &ack) })
	}
}

type gone struct{}

func (gone) Error() string { return "the peer is gone" }

var errGone gone

// Packet brings a packet to any instance, as the fabric does. One that meets a
// dead instance is lost.
func (l *Lab) Packet(p *flow.Packet) Result {
	n := l.Nodes[l.Rand.IntN(len(l.Nodes))]
	for n.dead && n.lab.listed(n.ID) == nil {
		n = l.Nodes[l.Rand.IntN(len(l.Nodes))]
	}
	switch {
	case n.dead:
		return Result{Reason: "dead_instance"}
	case l.Route != nil:
		return l.Route(n, p)
	}
	return n.packet(p, nil)
}

func (l *Lab) listed(id snapshot.InstanceID) *snapshot.Instance { return l.snap.Instances[id] }

func (n *Node) packet(p *flow.Packet, r *engine.Relay) Result {
	for range 2 * engine.MaxHops {
		a := n.Engine.Packet(n.now(), p, r)
		if a.SendLearnTo != nil {
			if to := n.lab.node(a.SendLearnTo.ID); to != nil {
				n.send(to, func() { to.Engine.Learn(to.now(), &a.Learn) })
			}
		}
		switch a.Verdict {
		case engine.ToHost:
			return Result{Host: a.Host.ID}
		case engine.ToCaller:
			return Result{Reset: true, Reason: a.Reason}
		case engine.Drop:
			return Result{Reason: a.Reason}
		}
		if n = n.lab.node(a.Peer.ID); n == nil {
			return Result{Reason: "dead_peer"}
		}
		r = &a.Relay
	}
	return Result{Reason: "hops"}
}
