package edge

import (
	"context"
	"io"
	"log"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"egrettack.example/core/catalog"
	wire "egrettack.example/wire/fleet"
)

const (
	methodCatalogSince = "catalog.since"

	// callTimeout limits one call between instances, including the connection set-up.
	callTimeout = 1500 * time.Millisecond
	// maxRequestBytes limits what a client may send on one connection.
	maxRequestBytes = 16 << 10
	// maxReplyBytes limits the reply to a call. The complete catalog at the design
	// size takes about 700 KB.
	maxReplyBytes = 8 << 20
	// maxCalls limits the connections that are served concurrently.
	maxCalls = 32
)

type sinceParams struct {
	Revision catalog.Revision `json:"revision"`
	Version  catalog.Version  `json:"version"`
}

type sinceResult struct {
	Change []byte `json:"change"`
}

// discardLog discards the log lines of jsonrpc2. They report closed connections,
// which the client sees as errors anyway.
var discardLog = log.New(io.Discard, "", 0)

// limitedConn is a connection from which a limited number of bytes can be read.
type limitedConn struct {
	net.Conn
	io.Reader
}

func (l limitedConn) Read(b []byte) (int, error) { return l.Reader.Read(b) }

func newStream(conn net.Conn, limit int64) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(limitedConn{conn, io.LimitReader(conn, limit)}, jsonrpc2.VarintObjectCodec{})
}

// serveCalls answers calls of peers and operators until ctx is done. A
// connection is closed after callTimeout, so that idle connections do not use up
// the slots.
func (i *Instance) serveCalls(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	slots := make(chan struct{}, maxCalls)
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return trace.Wrap(err, "accept calls on %s", l.Addr())
		}
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
	if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return
	}
	handler := jsonrpc2.HandlerWithError(i.answer).SuppressErrClosed()
	rpc := jsonrpc2.NewConn(ctx, newStream(conn, maxRequestBytes), handler, jsonrpc2.SetLogger(discardLog))
	<-rpc.DisconnectNotify()
}

// fetchChange fetches the changes after the position have from the instance at addr.
func fetchChange(ctx context.Context, addr netip.AddrPort, have position) (*wire.Change, error) {
	var r sinceResult
	if err := call(ctx, addr, methodCatalogSince, sinceParams{have.revision, have.version}, &r); err != nil {
		return nil, err
	}
	return wire.DecodeChange(r.Change)
}

// call makes one call on a new connection.
func call(ctx context.Context, addr netip.AddrPort, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return trace.Wrap(err, "%s at %s", method, addr)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return trace.Wrap(err, "%s at %s", method, addr)
	}
	noMethods := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "the client of a call serves no methods"}
	})
	rpc := jsonrpc2.NewConn(ctx, newStream(conn, maxReplyBytes), noMethods, jsonrpc2.SetLogger(discardLog))
	defer rpc.Close()
	return trace.Wrap(rpc.Call(ctx, method, params, result), "%s at %s", method, addr)
}
