package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"
)

const (
	// headerTimeout limits the time to read the headers of an HTTP request.
	headerTimeout = 2 * time.Second
	// drainIdle is how long no packet may arrive before a stopping instance exits. By
	// then the routers send its flows elsewhere.
	drainIdle = 300 * time.Millisecond
	// minDrainTime is the shortest time between the start of a stop and the exit: the
	// routers poll the readiness twice, half a second apart, before they react.
	minDrainTime = 1200 * time.Millisecond
	// graceReserve is the part of the platform's grace period that is left unused.
	graceReserve = time.Second
)

// state is the state of the instance besides the catalog, guarded by mu.
type state struct {
	stopping   bool
	store      storeState
	lastPacket time.Duration
	cancelLoad context.CancelFunc // ends the load of the first catalog from the store, nil before it begins

	wantedAfter time.Duration // a read that begins later is wanted
	readWanted  chan struct{} // wakes follow, buffered
}

// notReady returns why the instance should not get packets, "" if it should.
func (i *Instance) notReady() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case i.state.stopping:
		return "stopping"
	case !i.catalog.Complete():
		return "configuration or list of servers not loaded yet"
	case !i.memberEvents.membersKnown(i.clock.now()):
		return "members not known yet"
	}
	return ""
}

// servePages answers the readiness probes of the platform on any path, and serves
// the metrics on their own port.
func (i *Instance) servePages(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return serve(ctx, i.settings.Health.String(), http.HandlerFunc(i.serveReadiness)) })
	if i.settings.MetricsPort > 0 {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", promhttp.HandlerFor(i.metrics.registry, promhttp.HandlerOpts{}))
		addr := &net.TCPAddr{IP: i.settings.Packets.Addr().AsSlice(), Port: i.settings.MetricsPort}
		g.Go(func() error {
			// Without metrics the instance still serves packets.
			if err := serve(ctx, addr.String(), mux); err != nil {
				i.log.Error("metrics not served", "error", err)
			}
			return nil
		})
	}
	return g.Wait()
}

func (i *Instance) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if why := i.notReady(); why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func serve(ctx context.Context, addr string, h http.Handler) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return trace.Wrap(err, "listen for HTTP on %s", addr)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err, "serve HTTP on %s", addr)
	}
	return nil
}

// drain reports the instance as not ready and forwards packets until no more
// arrive, none wait and another instance knows the openings of its flows, or the grace period is
// nearly over.
func (i *Instance) drain(ctx context.Context) {
	began := i.clock.now()
	i.mu.Lock()
	i.state.stopping = true
	flows := i.engine.FlowCount()
	i.sendLeave()
	limit := max(i.settings.StopGrace.Duration-graceReserve, minDrainTime)
	i.mu.Unlock()
	i.log.Info("stopping", "flows", flows, "limit", limit)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(tickInterval):
		}
		now := i.clock.now()
		i.mu.Lock()
		idle := now-i.state.lastPacket > drainIdle && i.waiting.Len() == 0 && len(i.uplink.waiters) == 0 && len(i.held.packets) == 0 && len(i.openings.inquiries) == 0
		stopped := now-began > limit || now-began > minDrainTime && idle && i.handOverOpenings(now)
		if stopped {
			i.handOverOpenings(now) // what is new since the last time, if packets came to the end
			i.sendStopped(now)
		}
		i.mu.Unlock()
		if stopped {
			return
		}
	}
}
