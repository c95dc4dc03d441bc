package edge

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"egrettack.example/core/catalog"
	wire "egrettack.example/wire/fleet"
)

// answer handles a call of a peer or an operator.
func (i *Instance) answer(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
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

// since returns the changes that a peer does not have.
func (i *Instance) since(p sinceParams) (any, error) {
	c := i.changesSince(p)
	if c == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "catalog is not complete yet"}
	}
	b, err := wire.EncodeChange(c, p.Compact)
	if err != nil {
		return nil, err
	}
	return sinceResult{b, p.Compact}, nil
}

// changesSince returns the changes that a peer does not have, nil while the
// catalog is not complete.
func (i *Instance) changesSince(p sinceParams) *wire.Change {
	now := i.clock.now()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.catalog.Complete() {
		return nil
	}
	age, good := i.catalog.Age(now)
	return &wire.Change{
		After: p.Revision, Age: wire.CeilMillis(age), StoreHealthyFor: wire.FloorMillis(good),
		Change: i.catalog.Since(now, p.Revision, p.Version, p.Compact),
	}
}
