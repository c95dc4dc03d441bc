package hosts

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/testkit/control"
	"egrettack.example/testkit/world"
)

// Server runs all hosts of a world.
type Server struct {
	world *world.World
	hosts map[string]*Host

	mu  sync.Mutex
	log []Run
}

// New starts the hosts.
func New(w *world.World) (*Server, error) {
	s := &Server{world: w, hosts: make(map[string]*Host)}
	for _, spec := range w.Hosts {
		h, err := newHost(spec, w, s.record)
		if err != nil {
			return nil, err
		}
		s.hosts[spec.Name] = h
	}
	return s, nil
}

// Run serves the health endpoints and the test interface until ctx is over.
func (s *Server) Run(ctx context.Context) error {
	failed := make(chan error, len(s.hosts)+1)
	for _, h := range s.hosts {
		go func() { failed <- control.Serve(ctx, h.spec.Health.String(), newHealth(h)) }()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /test/v1/log", s.serveLog)
	mux.Handle("GET /test/v1/stats", control.Report(func() any { return s.stats() }))
	mux.Handle("PUT /test/v1/host", control.Accept(s.setMode))
	addr, err := control.Address(s.world.HostsURL)
	if err != nil {
		return err
	}
	go func() { failed <- control.Serve(ctx, addr, mux) }()
	err = <-failed
	for _, h := range s.hosts {
		h.net.Close()
	}
	return err
}

func (s *Server) record(r Run) {
	s.mu.Lock()
	s.log = append(s.log, r)
	s.mu.Unlock()
}

// serveLog answers with the runs whose request id has the given prefix.
func (s *Server) serveLog(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	out := []Run{}
	s.mu.Lock()
	for _, run := range s.log {
		if strings.HasPrefix(run.ID, prefix) {
			out = append(out, run)
		}
	}
	s.mu.Unlock()
	control.Answer(w, out)
}

func (s *Server) stats() map[string]Stats {
	out := make(map[string]Stats, len(s.hosts))
	for name, h := range s.hosts {
		out[name] = h.stats()
	}
	return out
}

func (s *Server) setMode(_ *http.Request, m Mode) error {
	h, ok := s.hosts[m.Name]
	if !ok {
		return trace.NotFound("host %q does not exist", m.Name)
	}
	h.setMode(m)
	slog.Info("host mode", "host", m.Name, "health", m.Health, "dead", m.Dead, "silent", m.Silent, "slow", m.Slow)
	return nil
}

// health is the health endpoint of one host.
type health struct {
	host *Host
	mu   sync.Mutex
	past []sample
}

type sample struct {
	at   time.Time
	load float64
}

// maxPast bounds the remembered loads. With one probe a second it covers lags
// of several minutes.
const maxPast = 1000

func newHealth(h *Host) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+world.HealthPath, &health{host: h})
	return mux
}

func (h *health) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m := h.host.getMode()
	switch {
	case m.Dead, m.Health == "hang":
		<-r.Context().Done()
		return
	case m.Health == "fail":
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	case m.Health != "":
		control.Answer(w, map[string]any{"state": m.Health, "load": m.Load})
		return
	}
	control.Answer(w, map[string]any{"state": "ready", "load": h.load(time.Duration(m.LagMS) * time.Millisecond)})
}

// load returns the part of the slots that was taken before the lag.
func (h *health) load(lag time.Duration) float64 {
	now := time.Now()
	s := h.host.stats()
	h.mu.Lock()
	defer h.mu.Unlock()
	load := min(1, float64(s.Running)/float64(max(h.host.spec.Slots, 1)))
	h.past = append(h.past, sample{now, load})
	if len(h.past) > maxPast {
		h.past = h.past[len(h.past)-maxPast:]
	}
	for _, p := range h.past {
		if now.Sub(p.at) <= lag {
			return p.load
		}
	}
	return load
}
