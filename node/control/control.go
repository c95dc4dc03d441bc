// Package control runs the control socket of an instance and the loop that
// drives the engine: it calls Tick, executes the outputs that Tick returns, and
// passes the control messages of peers to the engine.
package control

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/core/engine"
	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
	"egrettack.example/node/metrics"
	wire "egrettack.example/wire/control"
)

const (
	// learnQueueSize holds the learn messages of a few full batches of packets.
	// If a message is dropped, a later packet of its flow has to be relayed for
	// the lookup again.
	learnQueueSize = 1024
	// readRetryDelay is the delay after a failed read. It keeps a persistent
	// socket error from using a whole core.
	readRetryDelay = 10 * time.Millisecond
	// rpcTimeout bounds one call to a peer. On links between domains the
	// retransmission of lost TCP segments may take seconds.
	rpcTimeout = 5 * time.Second
)

// Engine has the methods of engine.Engine that Loop calls.
type Engine interface {
	Tick(now time.Duration) []engine.Output
	Heartbeat(now time.Duration, h *message.Heartbeat)
	Learn(now time.Duration, l *message.Learn)
	CopyBatch(now time.Duration, b *message.CopyBatch) (message.CopyAck, bool)
	CopyAck(now time.Duration, a *message.CopyAck)
	PullDone(now time.Duration, r *message.PullRequest, reply *message.PullReply, err error)
	Snapshot() *snapshot.Snapshot
}

// Peers makes the calls to other instances.
type Peers interface {
	// Pull returns one page of a group's entries.
	Pull(ctx context.Context, addr string, r message.PullRequest) (message.PullReply, error)
	// FetchSnapshot fetches and merges the published values that are newer than
	// those of this instance.
	FetchSnapshot(ctx context.Context, addr string) error
}

// Config configures a Loop. All fields are required.
type Config struct {
	Conn      *net.UDPConn
	Engine    Engine
	Peers     Peers
	Codec     *wire.Codec
	Self      snapshot.InstanceID
	Domain    snapshot.DomainID
	Boot      uint64 // start time of the process, ns since the Unix epoch
	Budget    int    // limit of sent control traffic, bytes per second
	Now       func() time.Duration
	SendReset func(*flow.Reset) error
	Metrics   *metrics.Metrics
	Log       *slog.Logger
}

// Loop drives the engine of one instance.
type Loop struct {
	cfg         Config
	replayGuard *wire.ReplayFilter
	learns      chan queuedLearn

	mu      sync.Mutex // guards the fields below
	limiter limiter
	seq     map[wire.Type]uint64
	buf     []byte

	fetchMu sync.Mutex // held while a snapshot fetch is in progress
	calls   sync.WaitGroup
}

// queuedLearn is a learn message that waits to be sent.
type queuedLearn struct {
	to      *snapshot.Instance
	message message.Learn
}

// New returns a loop that uses cfg.Conn. Run closes cfg.Conn when its context
// is done.
func New(cfg Config) *Loop {
	return &Loop{
		cfg: cfg, replayGuard: wire.NewReplayFilter(), learns: make(chan queuedLearn, learnQueueSize),
		limiter: newLimiter(cfg.Budget), seq: make(map[wire.Type]uint64),
	}
}

// Run serves the control socket and drives the engine until ctx is done. It
// returns when all calls to peers have ended.
func (l *Loop) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { l.cfg.Conn.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(l.receive)
	wg.Go(func() { l.sendLearns(ctx) })
	wg.Go(func() { l.tick(ctx) })
	wg.Wait()
	l.calls.Wait()
	return nil
}

// Learn queues a learn message for sending. It never blocks: if the queue is
// full, the message is dropped and counted.
func (l *Loop) Learn(to *snapshot.Instance, m message.Learn) {
	select {
	case l.learns <- queuedLearn{to, m}:
	default:
		l.cfg.Metrics.LearnDropped.Inc()
	}
}

func (l *Loop) sendLearns(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.learns:
			l.send(m.to, &wire.Message{Learn: &m.message})
		}
	}
}

func (l *Loop) tick(ctx context.Context) {
	t := time.NewTicker(engine.TickInterval)
	defer t.Stop()
	last := l.cfg.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := l.cfg.Now()
		l.cfg.Metrics.TickGap.Observe((now - last).Seconds())
		if now-last > engine.StaleGap {
			l.cfg.Log.Warn("process was paused: interval between ticks over the threshold", "gap", now-last)
		}
		last = now
		for _, o := range l.cfg.Engine.Tick(now) {
			l.execute(ctx, &o)
		}
	}
}

func (l *Loop) execute(ctx context.Context, o *engine.Output) {
	switch {
	case o.Heartbeat != nil:
		l.send(o.To, &wire.Message{Heartbeat: o.Heartbeat})
	case o.Learn != nil:
		l.send(o.To, &wire.Message{Learn: o.Learn})
	case o.Copies != nil:
		l.send(o.To, &wire.Message{Copies: o.Copies})
	case o.Reset != nil:
		if err := l.cfg.SendReset(o.Reset); err != nil {
			l.cfg.Log.Warn("reset not sent", "flow", o.Reset.Key, "error", err)
		}
	case o.Pull != nil:
		l.calls.Go(func() { l.pull(ctx, o.To, o.Pull) })
	case o.Fetch:
		l.calls.Go(func() { l.fetch(ctx, o.To) })
	}
}

func (l *Loop) pull(ctx context.Context, from *snapshot.Instance, r *message.PullRequest) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	reply, err := l.cfg.Peers.Pull(ctx, from.AddressesFrom(l.cfg.Domain).RPC.String(), *r)
	if err != nil {
		l.cfg.Metrics.Pulls.WithLabelValues("error").Inc()
		l.cfg.Log.Warn("pull of group entries failed", "peer", from.Name, "group", r.Group, "cursor", r.Cursor, "error", err)
		l.cfg.Engine.PullDone(l.cfg.Now(), r, nil, trace.Wrap(err, "pull group %s from instance %s", r.Group, from.Name))
		return
	}
	l.cfg.Metrics.Pulls.WithLabelValues("ok").Inc()
	l.cfg.Log.Debug("pulled", "peer", from.Name, "group", r.Group, "entries", len(reply.Entries), "done", reply.Done)
	l.cfg.Engine.PullDone(l.cfg.Now(), r, &reply, nil)
}

// fetch fetches the newer snapshot of a peer. It does nothing while another
// fetch is in progress: the engine requests a fetch again as long as a peer has
// a newer snapshot.
func (l *Loop) fetch(ctx context.Context, from *snapshot.Instance) {
	if !l.fetchMu.TryLock() {
		return
	}
	defer l.fetchMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	if err := l.cfg.Peers.FetchSnapshot(ctx, from.AddressesFrom(l.cfg.Domain).RPC.String()); err != nil {
		l.cfg.Metrics.Fetches.WithLabelValues("error").Inc()
		l.cfg.Log.Warn("snapshot not fetched from peer", "peer", from.Name, "error", err)
		return
	}
	l.cfg.Metrics.Fetches.WithLabelValues("ok").Inc()
	l.cfg.Log.Info("snapshot fetched from peer", "peer", from.Name)
}

// send encodes m and sends it unless the budget is exhausted. Heartbeats are
// sent in any case.
func (l *Loop) send(to *snapshot.Instance, m *wire.Message) {
	if to == nil {
		return
	}
	t := m.Type()
	l.mu.Lock()
	defer l.mu.Unlock()
	m.From, m.Boot = l.cfg.Self, l.cfg.Boot
	if t != wire.Heartbeat {
		m.Seq = l.seq[t] + 1
	}
	b, err := l.cfg.Codec.Append(l.buf[:0], to.ID, m)
	if err != nil {
		l.cfg.Log.Error("encoding of control message failed", "type", t, "peer", to.Name, "error", err)
		return
	}
	l.buf = b
	if !l.limiter.allow(l.cfg.Now(), len(b), t == wire.Heartbeat) {
		l.cfg.Metrics.ControlLimited.WithLabelValues(t.String()).Inc()
		return
	}
	l.seq[t]++
	if _, err := l.cfg.Conn.WriteToUDPAddrPort(b, to.AddressesFrom(l.cfg.Domain).Control); err != nil {
		l.cfg.Log.Debug("sending of control message failed", "type", t, "peer", to.Name, "error", err)
		return
	}
	l.cfg.Metrics.ControlSent.WithLabelValues(t.String()).Add(float64(len(b)))
}

func (l *Loop) receive() {
	buf := make([]byte, wire.MaxLen+1)
	for {
		n, err := l.cfg.Conn.Read(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			l.cfg.Log.Warn("reading from control socket failed", "error", err)
			time.Sleep(readRetryDelay)
			continue
		}
		m, err := l.cfg.Codec.Read(buf[:n], l.cfg.Self)
		if err == nil {
			err = l.replayGuard.Accept(m)
		}
		if err != nil {
			l.reject(m, err)
			continue
		}
		l.cfg.Metrics.ControlReceived.WithLabelValues(m.Type().String()).Add(float64(n))
		l.deliver(m)
	}
}

// rejectReasons maps errors to values of the metric label reason.
var rejectReasons = []struct {
	err    error
	reason string
}{
	{wire.ErrLength, "length"},
	{wire.ErrFormat, "format"},
	{wire.ErrKey, "key"},
	{wire.ErrTag, "tag"},
	{wire.ErrBody, "body"},
	{wire.ErrReplay, "replay"},
	{wire.ErrOldBoot, "old_boot"},
}

func (l *Loop) reject(m *wire.Message, err error) {
	reason := "other"
	for _, r := range rejectReasons {
		if errors.Is(err, r.err) {
			reason = r.reason
			break
		}
	}
	l.cfg.Metrics.ControlRejected.WithLabelValues(reason).Inc()
	var from snapshot.InstanceID
	if m != nil {
		from = m.From
	}
	l.cfg.Log.Debug("control message rejected", "peer", from, "reason", reason, "error", err)
}

func (l *Loop) deliver(m *wire.Message) {
	now := l.cfg.Now()
	switch m.Type() {
	case wire.Heartbeat:
		l.cfg.Engine.Heartbeat(now, m.Heartbeat)
	case wire.Learn:
		l.cfg.Engine.Learn(now, m.Learn)
	case wire.CopyAck:
		l.cfg.Engine.CopyAck(now, m.CopyAck)
	case wire.Copies:
		ack, ok := l.cfg.Engine.CopyBatch(now, m.Copies)
		if !ok {
			return
		}
		if s := l.cfg.Engine.Snapshot(); s != nil {
			l.send(s.Instances[m.From], &wire.Message{CopyAck: &ack})
		}
	}
}
