package rpc

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"egrettack.example/core/engine"
	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
	"egrettack.example/settings/daemon"
	"egrettack.example/settings/published"
)

// defaultTimeout bounds one call, connecting included.
const defaultTimeout = 10 * time.Second

// ErrUnreachable is the cause of errors of calls that got no connection or
// lost it, as opposed to those that the peer answered with an error.
var ErrUnreachable = errors.New("not reachable")

// Client calls instances. It keeps one connection to each peer while it is
// in use. Its methods may be called concurrently.
type Client struct {
	key     daemon.Key
	timeout time.Duration

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewClient returns a client that proves the given key. timeout bounds one
// call; zero stands for 10 s.
func NewClient(key daemon.Key, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &Client{key: key, timeout: timeout, conns: make(map[string]*jsonrpc2.Conn)}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conn := range c.conns {
		conn.Close()
		delete(c.conns, addr)
	}
}

// SnapshotSince returns the values that changed after a version.
func (c *Client) SnapshotSince(ctx context.Context, addr string, after snapshot.Version) (v published.Values, err error) {
	err = c.call(ctx, addr, methodSnapshotSince, sinceParams{After: after}, &v)
	return v, err
}

// Pull returns one page of a group's entries.
func (c *Client) Pull(ctx context.Context, addr string, r message.PullRequest) (reply message.PullReply, err error) {
	err = c.call(ctx, addr, methodPull, r, &reply)
	return reply, err
}

// Status returns what an instance says of itself.
func (c *Client) Status(ctx context.Context, addr string) (s engine.Status, err error) {
	err = c.call(ctx, addr, methodStatus, struct{}{}, &s)
	return s, err
}

// Explain tells where an instance sends a flow and why.
func (c *Client) Explain(ctx context.Context, addr string, k flow.Key) (text string, err error) {
	err = c.call(ctx, addr, methodExplain, explainParams{Flow: k}, &text)
	return text, err
}

func (c *Client) call(ctx context.Context, addr, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	conn, reused, err := c.connect(ctx, addr)
	if err == nil {
		err = conn.Call(ctx, method, params, result)
	}
	var answered *jsonrpc2.Error
	if reused && err != nil && !errors.As(err, &answered) && ctx.Err() == nil {
		// The peer closed an idle connection. All calls can be repeated.
		c.drop(addr, conn)
		if conn, _, err = c.connect(ctx, addr); err == nil {
			err = conn.Call(ctx, method, params, result)
		}
	}
	if err == nil {
		return nil
	}
	if errors.As(err, &answered) || errors.Is(err, ErrKey) {
		return trace.Wrap(err, "%s at %s", method, addr)
	}
	// A call that got no answer may leave its reply on the way, so the
	// connection is not used again.
	c.drop(addr, conn)
	return trace.Wrap(&unreachable{err}, "%s at %s", method, addr)
}

// connect returns the open connection to addr or makes one.
func (c *Client) connect(ctx context.Context, addr string) (conn *jsonrpc2.Conn, reused bool, err error) {
	c.mu.Lock()
	conn = c.conns[addr]
	c.mu.Unlock()
	if conn != nil {
		return conn, true, nil
	}
	var d net.Dialer
	tcp, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { tcp.Close() })
	session, err := openHandshake(tcp, c.key)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		tcp.Close()
		return nil, false, err
	}
	codec := &codec{
		conn: tcp, sendKey: session.toServer, recvKey: session.toClient,
		maxSend: maxRequest, maxRecv: maxReply,
	}
	// The connection outlives the call that made it.
	conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewBufferedStream(tcp, codec), noRequests, jsonrpc2.SetLogger(discard))
	return c.keep(addr, conn), false, nil
}

// keep stores a connection until it breaks. When another call stored one
// meanwhile, that is used.
func (c *Client) keep(addr string, conn *jsonrpc2.Conn) *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[addr]; other != nil {
		conn.Close()
		return other
	}
	c.conns[addr] = conn
	go func() {
		<-conn.DisconnectNotify()
		c.drop(addr, conn)
	}()
	return conn
}

func (c *Client) drop(addr string, conn *jsonrpc2.Conn) {
	if conn == nil {
		return
	}
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[addr] == conn {
		delete(c.conns, addr)
	}
}

// unreachable gives a cause the type ErrUnreachable.
type unreachable struct{ cause error }

func (u *unreachable) Error() string        { return ErrUnreachable.Error() + ": " + u.cause.Error() }
func (u *unreachable) Unwrap() error        { return u.cause }
func (u *unreachable) Is(target error) bool { return target == ErrUnreachable }

// noRequests ignores requests, which servers never send.
var noRequests = jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
}).SuppressErrClosed()
