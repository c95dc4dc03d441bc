package rpc_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"egrettack.example/core/engine"
	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
	"egrettack.example/node/rpc"
	"egrettack.example/settings/daemon"
	"egrettack.example/settings/published"
)

type backend struct {
	values published.Values
	pull   func(message.PullRequest) (message.PullReply, error)
}

func (b *backend) Keys() []daemon.Key {
	return []daemon.Key{{ID: 1, Secret: daemon.Secret{1}}, {ID: 2, Secret: daemon.Secret{2}}}
}

func (b *backend) SnapshotSince(v snapshot.Version) published.Values { return b.values.Since(v) }

func (b *backend) Pull(r message.PullRequest) (message.PullReply, error) { return b.pull(r) }

func (b *backend) Status() engine.Status { return engine.Status{Self: 9, State: message.Ready} }

func (b *backend) Explain(k flow.Key) string { return "to host " + k.String() }

// serve starts a server that ends with the test.
func serve(t *testing.T, b rpc.Backend) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- rpc.Serve(ctx, l, b) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return l.Addr().String()
}

func client(t *testing.T, key daemon.Key) *rpc.Client {
	c := rpc.NewClient(key, 5*time.Second)
	t.Cleanup(c.Close)
	return c
}

var goodKey = daemon.Key{ID: 2, Secret: daemon.Secret{2}}

// Guards against a call whose parameters or result are lost on the way.
func TestCalls(t *testing.T) {
	held, err := published.Merge(published.Values{}, published.Values{Revision: 4, Full: true, Values: map[string]string{"a": "1"}})
	if err != nil {
		t.Fatal(err)
	}
	change := published.Values{Revision: 6, After: 4, Values: map[string]string{"b": "2"}, Deleted: []string{"a"}}
	if held, err = published.Merge(held, change); err != nil {
		t.Fatal(err)
	}
	entry := message.Entry{Key: flow.Key{Src: 1, Dst: 2, SrcPort: 3, DstPort: 4, Proto: flow.TCP}, Host: 5, ISN: 6}
	b := &backend{values: held, pull: func(r message.PullRequest) (message.PullReply, error) {
		if r.Cursor == 99 {
			return message.PullReply{}, errors.New("no such group")
		}
		return message.PullReply{Epoch: 3, Entries: []message.Entry{entry}, Next: r.Cursor + 1}, nil
	}}
	addr, c, ctx := serve(t, b), client(t, goodKey), t.Context()
	v, err := c.SnapshotSince(ctx, addr, 4)
	if err != nil || v.Revision != 6 || v.Values["b"] != "2" || len(v.Values) != 1 || len(v.Deleted) != 1 || v.Full {
		t.Errorf("SnapshotSince gives %+v, %v", v, err)
	}
	if v, err = c.SnapshotSince(ctx, addr, 1); err != nil || !v.Full {
		t.Errorf("SnapshotSince from before the first revision gives %+v, %v", v, err)
	}
	reply, err := c.Pull(ctx, addr, message.PullRequest{Cursor: 7})
	if err != nil || reply.Next != 8 || len(reply.Entries) != 1 || reply.Entries[0] != entry {
		t.Errorf("Pull gives %+v, %v", reply, err)
	}
	if _, err = c.Pull(ctx, addr, message.PullRequest{Cursor: 99}); err == nil || errors.Is(err, rpc.ErrUnreachable) ||
		!strings.Contains(err.Error(), "no such group") || !strings.Contains(err.Error(), addr) {
		t.Errorf("a failed Pull gives %v", err)
	}
	if s, err := c.Status(ctx, addr); err != nil || s.Self != 9 || s.State != message.Ready {
		t.Errorf("Status gives %+v, %v", s, err)
	}
	if text, err := c.Explain(ctx, addr, entry.Key); err != nil || text != "to host "+entry.Key.String() {
		t.Errorf("Explain gives %q, %v", text, err)
	}
}

// Guards against calls by peers without a shared key.
func TestWrongKey(t *testing.T) {
	addr := serve(t, &backend{})
	for _, key := range []daemon.Key{{ID: 2, Secret: daemon.Secret{1}}, {ID: 3, Secret: daemon.Secret{2}}, {}} {
		if _, err := client(t, key).Status(t.Context(), addr); !errors.Is(err, rpc.ErrKey) || errors.Is(err, rpc.ErrUnreachable) {
			t.Errorf("key %d gives %v", key.ID, err)
		}
	}
}

// Guards against unbounded memory: a frame over the limit and a frame with a
// wrong code end the connection, whatever they hold.
func TestBadFrames(t *testing.T) {
	addr := serve(t, &backend{})
	for name, length := range map[string]uint32{"too long": 1 << 30, "wrong code": 2} {
		conn := rpc.DialRaw(t, addr, goodKey)
		frame := binary.BigEndian.AppendUint32(nil, length)
		conn.Write(append(frame, make([]byte, 18)...))
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if n, err := conn.Read(make([]byte, 1)); n != 0 || errors.Is(err, context.DeadlineExceeded) || isTimeout(err) {
			t.Errorf("%s: read gives %d bytes, %v; want the connection closed", name, n, err)
		}
		conn.Close()
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// Guards against descriptors that run out: connections over the limit are
// closed, and the server serves again once others have ended.
func TestConnectionLimit(t *testing.T) {
	addr := serve(t, &backend{})
	var held []net.Conn
	for range rpc.MaxConnections {
		held = append(held, rpc.DialRaw(t, addr, goodKey))
	}
	extra, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer extra.Close()
	extra.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(extra, make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("the connection over the limit gives %v, want it closed", err)
	}
	for _, c := range held {
		c.Close()
	}
	deadline := time.Now().Add(5 * time.Second)
	for {
		if _, err = client(t, goodKey).Status(t.Context(), addr); err == nil || time.Now().After(deadline) {
			break
		}
	}
	if err != nil {
		t.Errorf("after the others ended: %v", err)
	}
}

// pipes is a listener whose connections are in memory, so that time can be
// simulated.
type pipes struct {
	net.Listener
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error { close(p.done); return nil }

// Guards against connections that stay open for ever: those that prove no key
// and those without calls.
func TestTimeLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		go rpc.Serve(ctx, p, &backend{})
		for name, c := range map[string]struct {
			open func(net.Conn)
			want time.Duration
		}{
			"no proof": {func(c net.Conn) { io.CopyN(io.Discard, c, 48) }, 3 * time.Second},
			"no calls": {func(c net.Conn) { rpc.Open(t, c, goodKey) }, time.Minute},
		} {
			ours, theirs := net.Pipe()
			p.conns <- theirs
			c.open(ours)
			begin := time.Now()
			if _, err := ours.Read(make([]byte, 1)); err == nil || time.Since(begin) != c.want {
				t.Errorf("%s: closed after %s with %v, want %s", name, time.Since(begin), err, c.want)
			}
		}
		cancel()
	})
}

// Guards against a client that stays on a connection that its peer closed,
// and against calls that hang when the peer is not there.
func TestReconnect(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr, c := l.Addr().String(), client(t, goodKey)
	for range 3 {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { rpc.Serve(ctx, l, &backend{}) })
		if _, err := c.Status(t.Context(), addr); err != nil {
			t.Errorf("status: %v", err)
		}
		cancel()
		wg.Wait()
		if _, err := c.Status(t.Context(), addr); !errors.Is(err, rpc.ErrUnreachable) {
			t.Errorf("status of a stopped instance gives %v", err)
		}
		if l, err = net.Listen("tcp", addr); err != nil {
			t.Fatal(err)
		}
	}
	l.Close()
}
