// Package web serves the pages for operators: health, metrics and status.
package web

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"egrettack.example/core/engine"
)

const (
	headerTimeout = 5 * time.Second
	stopTimeout   = time.Second
)

// Config of the pages.
type Config struct {
	Name string // of the instance
	// Ready returns nil when the instance can do its work, else the reason.
	Ready    func() error
	Status   func() engine.Status
	Registry *prometheus.Registry
	// Profiles adds /debug/pprof.
	Profiles bool
	Log      *slog.Logger
}

// Handler returns the pages.
func Handler(cfg Config) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { text(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := cfg.Ready(); err != nil {
			text(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		text(w, http.StatusOK, "ready")
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		if err := enc.Encode(newPage(cfg.Name, cfg.Status())); err != nil {
			cfg.Log.Debug("status not sent", "error", err)
		}
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(cfg.Registry, promhttp.HandlerOpts{}))
	if cfg.Profiles {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	}
	return mux
}

func text(w http.ResponseWriter, status int, s string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// The client may have left.
	_, _ = w.Write([]byte(s + "\n"))
}

// Serve serves h on l until ctx is done.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		if srv.Shutdown(ctx) != nil {
			srv.Close()
		}
	})
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err, "serve pages on %s", l.Addr())
	}
	return nil
}
