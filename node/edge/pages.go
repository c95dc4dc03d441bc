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
	headerTimeout = 2 * time.Second
	// drainIdle is how long no packet may arrive before a stopping instance
	// ends: the routers have sent its flows elsewhere by then.
	drainIdle = 300 * time.Millisecond
	// minDrainTime is the least time from the begin of a stop to its end: the
	// routers take two looks at the readiness, half a second apart.
	minDrainTime = 1200 * time.Millisecond
	// graceReserve is the part of the platform's grace that is left unused.
	graceReserve = time.Second
)

// state is what the instance believes beside the catalog, under mu.
type state struct {
	stopping   bool
	storeLost  bool          // the last read of the store failed
	storeLostAt     time.Duration // when it did
	lastPacket time.Duration
}

// storeLostFor is how long after a failed read the instance takes itself for cut
// off from the store. It does not read while others tell it of changes.
const storeLostFor = 10 * time.Second

func (s *state) storeUnreachable(now time.Duration) bool { return s.storeLost && now-s.storeLostAt < storeLostFor }

// ready returns why the instance should not get packets, "" if it should.
func (i *Instance) notReady() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case i.state.stopping:
		return "stopping"
	case !i.catalog.Complete():
		return "no configuration or no list of servers yet"
	}
	return ""
}

// servePages answers the platform's question for readiness on any path, and
// serves the metrics on their port.
func (i *Instance) servePages(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return serve(ctx, i.settings.Health.String(), http.HandlerFunc(i.serveReadiness)) })
	if i.settings.MetricsPort > 0 {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", promhttp.HandlerFor(i.metrics.registry, promhttp.HandlerOpts{}))
		addr := &net.TCPAddr{IP: i.settings.Packets.Addr().AsSlice(), Port: i.settings.MetricsPort}
		g.Go(func() error {
			// Packets are served without metrics as well.
			if err := serve(ctx, addr.String(), mux); err != nil {
				i.log.Error("no metrics", "error", err)
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
		return trace.Wrap(err, "listen for pages on %s", addr)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err, "serve pages on %s", addr)
	}
	return nil
}

// drain takes the instance out of rotation and forwards packets until none
// come any more or the grace is nearly over.
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
		quiet := now - i.state.lastPacket
		i.mu.Unlock()
		if now-began > limit || now-began > minDrainTime && quiet > drainIdle {
			return
		}
	}
}
