package edge

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"egrettack.example/core/catalog"
	wire "egrettack.example/wire/fleet"
)

// answer handles a call of a peer or an operator.
func (i *Instance) answer(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (result any, err error) {
	err = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "the call failed; see the log of the instance"}
	i.contain("call "+r.Method, func() { result, err = i.dispatch(r) })
	return result, err
}

func (i *Instance) dispatch(r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case methodCatalogSince:
		p, err := params[sinceParams](r)
		if err != nil {
			return nil, err
		}
		return i.since(p)
	case methodStatus:
		return i.status(), nil
	case methodServers:
		return i.servers(func(*catalog.Server) bool { return true }), nil
	case methodExplain:
		p, err := params[explainParams](r)
		if err != nil {
			return nil, err
		}
		return i.explain(p), nil
	case methodToken:
		p, err := params[tokenParams](r)
		if err != nil {
			return nil, err
		}
		return i.servers(func(s *catalog.Server) bool { return s.Token == p.Token }), nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
}

func params[T any](r *jsonrpc2.Request) (p T, err error) {
	if r.Params == nil {
		return p, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: r.Method + ": parameters are missing"}
	}
	if err := json.Unmarshal(*r.Params, &p); err != nil {
		return p, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: r.Method + ": " + err.Error()}
	}
	return p, nil
}

// replyTTL is how long an encoded reply serves other peers. The followers of an
// instance ask for the same changes at the same time.
const replyTTL = 500 * time.Millisecond

// replyCache holds the last compact reply. Its mutex is locked before that of the
// instance.
type replyCache struct {
	mu        sync.Mutex
	params    sinceParams
	position  position
	encodedAt time.Duration // 0 if there is none
	change    []byte
}

// since returns the changes that a peer does not have.
func (i *Instance) since(p sinceParams) (any, error) {
	if p.Compact {
		return i.compactSince(p)
	}
	b, _, err := i.encodeSince(p)
	return sinceResult{Change: b}, err
}

// compactSince returns a compact reply, one of the cache if it is not outdated.
func (i *Instance) compactSince(p sinceParams) (any, error) {
	c := &i.replies
	c.mu.Lock()
	defer c.mu.Unlock()
	i.mu.Lock()
	have, now := i.position(), i.clock.now()
	i.mu.Unlock()
	if c.encodedAt == 0 || c.params != p || c.position != have || now-c.encodedAt > replyTTL {
		b, have, err := i.encodeSince(p)
		if err != nil {
			return nil, err
		}
		c.params, c.position, c.encodedAt, c.change = p, have, now, b
	}
	return sinceResult{Change: c.change, Compressed: true, Delay: wire.CeilMillis(now - c.encodedAt)}, nil
}

// encodeSince encodes the changes that a peer does not have, and returns the
// position that they lead to. The encoding, which takes milliseconds, does not
// hold up the packets.
func (i *Instance) encodeSince(p sinceParams) ([]byte, position, error) {
	c, at := i.changesSince(p)
	if c == nil {
		return nil, at, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "catalog is not complete yet"}
	}
	b, err := wire.EncodeChange(c, p.Compact)
	return b, at, err
}

// changesSince returns the changes that a peer does not have, nil while the
// catalog is not complete, and the position that they lead to.
func (i *Instance) changesSince(p sinceParams) (*wire.Change, position) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.adjustedTime()
	if !i.catalog.Complete() {
		return nil, i.position()
	}
	age, good := i.catalog.Age(now)
	return &wire.Change{
		After: p.Revision, Age: wire.CeilMillis(age), StoreHealthyFor: wire.FloorMillis(good),
		Change: i.catalog.Since(now, catalog.Position{Epoch: p.Epoch, Revision: p.Revision}, p.Version, p.Compact),
	}, i.position()
}

// dropReply frees the memory of an outdated reply.
func (i *Instance) dropReply() {
	c := &i.replies
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.encodedAt > 0 && i.clock.now()-c.encodedAt > replyTTL {
		c.encodedAt, c.change = 0, nil
	}
}
