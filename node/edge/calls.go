package edge

import (
	"context"
	"io"
	"log"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"egrettack.example/core/catalog"
	"egrettack.example/node/progress"
	wire "egrettack.example/wire/fleet"
)

const (
	methodCatalogSince = "catalog.since"

	// callSilence limits the time in which a call between instances makes no progress,
	// including the connection set-up, and maxCallTime the whole call.
	callSilence = 1500 * time.Millisecond
	maxCallTime = 10 * time.Second
	// writeSize is the size of the parts of which the progress of a write is noted.
	writeSize = 16 << 10
	// maxRequestBytes limits what a client may send on one connection.
	maxRequestBytes = 16 << 10
	// maxReplyBytes limits the reply to a call. The complete catalog at the design
	// size takes about 700 KB.
	maxReplyBytes = 8 << 20
	// maxCalls limits the connections that are served concurrently. All followers
	// pull at the same time when their source has loaded its catalog, up to the
	// members of a domain while they do not know each other yet. A complete catalog of
	// 3,000 servers takes some 400 KB for each of them; those that are refused
	// pull again, or from a source that has been served meanwhile.
	maxCalls = 32
)

type sinceParams struct {
	Epoch    catalog.Epoch    `json:"epoch,omitempty"`
	Revision catalog.Revision `json:"revision"`
	Version  catalog.Version  `json:"version"`
	// Compact asks for a compressed reply with the configuration as a difference.
	Compact bool `json:"compact,omitempty"`
}

// compactParams returns the parameters of a compact call for the changes after a
// position.
func compactParams(have position) sinceParams {
	return sinceParams{Epoch: have.store.Epoch, Revision: have.store.Revision, Version: have.version, Compact: true}
}

type sinceResult struct {
	Change     []byte `json:"change"`
	Compressed bool   `json:"compressed,omitempty"`
	// Delay is the time since the change was encoded, by which its age has grown.
	Delay wire.Millis `json:"delay_ms,omitempty"`
}

// discardLog discards the log lines of jsonrpc2. They report closed connections,
// which the client sees as errors anyway.
var discardLog = log.New(io.Discard, "", 0)

// callConn is the connection of a call, from which a limited number of bytes can
// be read. It reports the progress of the call with the context ctx.
type callConn struct {
	net.Conn
	io.Reader
	ctx context.Context
}

func (c callConn) Read(b []byte) (int, error) {
	n, err := c.Reader.Read(b)
	if n > 0 {
		progress.Report(c.ctx)
	}
	return n, err
}

func (c callConn) Write(b []byte) (written int, err error) {
	for part := range slices.Chunk(b, writeSize) {
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
		progress.Report(c.ctx)
	}
	return written, nil
}

func newStream(ctx context.Context, conn net.Conn, limit int64) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(callConn{conn, io.LimitReader(conn, limit), ctx}, jsonrpc2.VarintObjectCodec{})
}

// withCallLimits returns a context with the limits of one call.
func withCallLimits(ctx context.Context) (context.Context, context.CancelFunc) {
	return withLimits(ctx, callSilence, maxCallTime)
}

// serveCalls answers calls of peers and operators until ctx is done. A
// connection without progress is closed after callSilence, so that idle connections
// do not use up the slots.
func (i *Instance) serveCalls(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	slots := make(chan struct{}, maxCalls)
	var f failures
	for {
		conn, err := l.Accept()
		if err != nil {
			again, err := f.retry(ctx, i, "accept calls on "+l.Addr().String(), err)
			if !again {
				return err
			}
			continue
		}
		f = failures{}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				i.serveConn(ctx, conn)
			}()
		default:
			i.log.Warn("call refused: too many concurrent calls", "peer", conn.RemoteAddr(), "limit", maxCalls)
			conn.Close()
		}
	}
}

func (i *Instance) serveConn(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	ctx, cancel := withCallLimits(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	handler := jsonrpc2.HandlerWithError(i.answer).SuppressErrClosed()
	rpc := jsonrpc2.NewConn(ctx, newStream(ctx, conn, maxRequestBytes), handler, jsonrpc2.SetLogger(discardLog))
	<-rpc.DisconnectNotify()
}

// fetchChange fetches the changes after the position have from the instance at addr.
func fetchChange(ctx context.Context, addr netip.AddrPort, have position) (*wire.Change, error) {
	var r sinceResult
	if err := call(ctx, addr, methodCatalogSince, compactParams(have), &r); err != nil {
		return nil, err
	}
	return r.decode()
}

func (r sinceResult) decode() (*wire.Change, error) {
	c, err := wire.DecodeChange(r.Change, r.Compressed)
	if err != nil {
		return nil, err
	}
	c.Age += r.Delay
	return c, nil
}

// call makes one call on a new connection.
func call(ctx context.Context, addr netip.AddrPort, method string, params, result any) error {
	ctx, cancel := withCallLimits(ctx)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return trace.Wrap(progress.Cause(ctx, err), "%s at %s", method, addr)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	noMethods := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "the client of a call serves no methods"}
	})
	rpc := jsonrpc2.NewConn(ctx, newStream(ctx, conn, maxReplyBytes), noMethods, jsonrpc2.SetLogger(discardLog))
	defer rpc.Close()
	err = rpc.Call(ctx, method, params, result)
	return trace.Wrap(progress.Cause(ctx, err), "%s at %s", method, addr)
}
