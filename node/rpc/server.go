// Package rpc owns the calls between instances, and from operators to
// instances: JSON-RPC 2.0 over TCP, authenticated with the shared keys.
package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
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

// Methods of the protocol.
const (
	methodSnapshotSince = "snapshot.since"
	methodPull          = "group.pull"
	methodStatus        = "status"
	methodExplain       = "flow.explain"
)

const (
	// maxConnections limits open connections, so that descriptors and memory
	// stay bounded. Peers keep one each and use it rarely.
	maxConnections = 128
	// idleTime closes connections without calls.
	idleTime = time.Minute
)

// Backend answers calls. Its methods are called concurrently.
type Backend interface {
	// Keys returns the keys that are accepted.
	Keys() []daemon.Key
	// SnapshotSince returns what changed after a version.
	SnapshotSince(after snapshot.Version) published.Values
	// Pull serves one page of a group's entries.
	Pull(message.PullRequest) (message.PullReply, error)
	Status() engine.Status
	// Explain tells where a flow goes and why.
	Explain(flow.Key) string
}

type sinceParams struct {
	After snapshot.Version `json:"after"`
}

type explainParams struct {
	Flow flow.Key `json:"flow"`
}

type server struct {
	backend Backend
	slots   chan struct{}
	wg      sync.WaitGroup
}

// Serve answers calls on l until ctx ends or l fails. It closes l and all
// connections before it returns.
func Serve(ctx context.Context, l net.Listener, b Backend) error {
	s := &server{backend: b, slots: make(chan struct{}, maxConnections)}
	ctx, cancel := context.WithCancel(ctx)
	defer s.wg.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return trace.Wrap(err, "accepting rpc connections on %s", l.Addr())
		case err != nil:
			// Too many open files and the like pass; the pause keeps the loop
			// from spinning meanwhile.
			slog.Warn("rpc accept failed", "listen", l.Addr().String(), "err", err)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		select {
		case s.slots <- struct{}{}:
			s.wg.Go(func() {
				defer func() { <-s.slots }()
				s.serve(ctx, conn)
			})
		default:
			slog.Warn("rpc connection refused", "peer", conn.RemoteAddr().String(), "limit", maxConnections)
			conn.Close()
		}
	}
}

func (s *server) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	session, err := acceptHandshake(conn, s.backend.Keys())
	if err != nil {
		slog.Warn("rpc handshake failed", "peer", conn.RemoteAddr().String(), "err", err)
		return
	}
	c := &codec{
		conn: conn, sendKey: session.toClient, recvKey: session.toServer,
		maxSend: maxReply, maxRecv: maxRequest, idle: idleTime,
	}
	// Calls of one connection are handled in turn, which bounds the work that
	// one peer can cause at a time.
	handler := jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed()
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, c), handler, jsonrpc2.SetLogger(discard))
	<-rpc.DisconnectNotify()
}

// discard drops what jsonrpc2 logs: closed connections, which the caller sees
// as errors.
var discard = log.New(io.Discard, "", 0)

func (s *server) handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case methodSnapshotSince:
		p, err := params[sinceParams](req)
		if err != nil {
			return nil, err
		}
		return s.backend.SnapshotSince(p.After), nil
	case methodPull:
		p, err := params[message.PullRequest](req)
		if err != nil {
			return nil, err
		}
		return result(s.backend.Pull(p))
	case methodStatus:
		return s.backend.Status(), nil
	case methodExplain:
		p, err := params[explainParams](req)
		if err != nil {
			return nil, err
		}
		return s.backend.Explain(p.Flow), nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: fmt.Sprintf("unknown method %q", req.Method)}
}

func params[T any](req *jsonrpc2.Request) (p T, err error) {
	if req.Params == nil {
		return p, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: req.Method + ": parameters are missing"}
	}
	if err := json.Unmarshal(*req.Params, &p); err != nil {
		return p, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: req.Method + ": " + err.Error()}
	}
	return p, nil
}

// result keeps a failed call from sending a value.
func result[T any](v T, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	return v, nil
}
