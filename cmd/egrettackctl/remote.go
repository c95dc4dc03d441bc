package main

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"egrettack.example/core/snapshot"
	"egrettack.example/node/rpc"
	"egrettack.example/settings/published"
)

// maxAtOnce limits the instances that are asked at the same time.
const maxAtOnce = 16

// remote asks instances.
type remote struct {
	app    *app
	client *rpc.Client
}

func (a *app) remote() (*remote, error) {
	if len(a.Instance) == 0 {
		return nil, fmt.Errorf("%w: --instance is needed", errUsage)
	}
	key, err := a.key()
	if err != nil {
		return nil, err
	}
	return &remote{app: a, client: rpc.NewClient(key, a.Timeout)}, nil
}

// values returns the published values of the first instance that answers.
func (r *remote) values() (v published.Values, err error) {
	for _, addr := range r.app.Instance {
		if v, err = r.client.SnapshotSince(r.app.ctx, addr, 0); err == nil {
			return v, nil
		}
	}
	return v, err
}

// snapshot returns the snapshot in force at the first instance that answers.
func (r *remote) snapshot() (*snapshot.Snapshot, error) {
	v, err := r.values()
	if err != nil {
		return nil, err
	}
	if !v.Full {
		return nil, errors.New("the instance has no published values yet")
	}
	return published.Build(v, nil)
}

// targets returns the rpc addresses to ask: those given, or with --all those
// that the first reachable one lists.
func (r *remote) targets() ([]string, error) {
	if !r.app.All {
		return r.app.Instance, nil
	}
	s, err := r.snapshot()
	if err != nil {
		return nil, err
	}
	var from snapshot.DomainID
	for _, d := range s.Domains {
		if d.Name == r.app.Domain {
			from = d.ID
		}
	}
	if from == 0 && r.app.Domain != "" {
		return nil, fmt.Errorf("%w: unknown domain %q", errUsage, r.app.Domain)
	}
	var out []string
	for _, i := range sorted(s.Instances) {
		out = append(out, i.AddressesFrom(from).RPC.String())
	}
	return out, nil
}

// answer is what one instance said.
type answer[T any] struct {
	Instance string `json:"instance"`
	Error    string `json:"error,omitempty"`
	Result   *T     `json:"result,omitempty"`
	err      error
}

// ask calls all targets and returns their answers in the same order. The
// error tells whether any call failed; the answers are valid all the same.
func ask[T any](r *remote, targets []string, call func(ctx context.Context, addr string) (T, error)) ([]answer[T], error) {
	out := make([]answer[T], len(targets))
	limit := make(chan struct{}, maxAtOnce)
	var wg sync.WaitGroup
	for i, addr := range targets {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			out[i].Instance = addr
			v, err := call(r.app.ctx, addr)
			if err != nil {
				out[i].err, out[i].Error = err, oneLine(err)
				return
			}
			out[i].Result = &v
		})
	}
	wg.Wait()
	return out, worst(out)
}

func worst[T any](answers []answer[T]) error {
	var failed error
	for _, a := range answers {
		switch {
		case errors.Is(a.err, rpc.ErrUnreachable):
			return fmt.Errorf("%w: %s", errUnreachable, a.Instance)
		case a.err != nil:
			failed = fmt.Errorf("%s: %w", a.Instance, a.err)
		}
	}
	return failed
}
