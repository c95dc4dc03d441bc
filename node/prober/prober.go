// Package prober asks the health endpoints of the backend servers that this
// instance has to watch and reports the answers to the engine.
package prober

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
	"egrettack.example/node/metrics"
)

const (
	interval = time.Second
	// timeout is shorter than the interval less the jitter, so that probes of
	// one host never overlap.
	timeout = 700 * time.Millisecond
	// jitter spreads the probes of one round.
	jitter = 250 * time.Millisecond
	// maxBody bounds what is read of an answer, in bytes.
	maxBody = 4 << 10
	// maxParallel bounds the probes in progress.
	maxParallel = 64
)

// Engine is the part of engine.Engine that the prober uses.
type Engine interface {
	ProbeTargets(now time.Duration) []*snapshot.Host
	Report(now time.Duration, h snapshot.HostID, r message.LoadReport)
}

// Config of a Prober. All fields are needed.
type Config struct {
	Engine  Engine
	Now     func() time.Duration
	Metrics *metrics.Metrics
	Log     *slog.Logger
}

// Prober probes hosts once a second.
type Prober struct {
	cfg    Config
	client *http.Client
	slots  chan struct{}
}

// New returns a prober.
func New(cfg Config) *Prober {
	return &Prober{
		cfg:   cfg,
		slots: make(chan struct{}, maxParallel),
		client: &http.Client{
			Timeout: timeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 1,
				IdleConnTimeout:     10 * interval,
				DisableCompression:  true,
			},
			// A redirect would let one host answer for another.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Run probes until ctx is done.
func (p *Prober) Run(ctx context.Context) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	defer p.client.CloseIdleConnections()
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		for _, h := range p.cfg.Engine.ProbeTargets(p.cfg.Now()) {
			if h.HealthURL != "" {
				probes.Go(func() { p.probe(ctx, h) })
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (p *Prober) probe(ctx context.Context, h *snapshot.Host) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(rand.N(jitter)):
	}
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	default:
		p.cfg.Metrics.Probes.WithLabelValues("skipped").Inc()
		return
	}
	r, err := p.ask(ctx, h.HealthURL)
	if ctx.Err() != nil {
		return
	}
	result := "ok"
	if err != nil {
		result = "error"
		r = message.LoadReport{ProbeFailed: true}
		p.cfg.Log.Debug("probe failed", "host", h.Name, "error", err)
	}
	p.cfg.Metrics.Probes.WithLabelValues(result).Inc()
	p.cfg.Engine.Report(p.cfg.Now(), h.ID, r)
}

// answer is the body of a health endpoint.
type answer struct {
	State string  `json:"state"`
	Load  float64 `json:"load"`
}

func (p *Prober) ask(ctx context.Context, url string) (message.LoadReport, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return message.LoadReport{}, trace.Wrap(err, "probe %s", url)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return message.LoadReport{}, trace.Wrap(err, "probe %s", url)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return message.LoadReport{}, trace.Wrap(err, "read answer of %s", url)
	}
	if resp.StatusCode != http.StatusOK {
		return message.LoadReport{}, trace.BadParameter("probe %s: status %d", url, resp.StatusCode)
	}
	var a answer
	if err := json.Unmarshal(body, &a); err != nil {
		return message.LoadReport{}, trace.Wrap(err, "parse answer of %s", url)
	}
	return a.report(url)
}

func (a answer) report(url string) (message.LoadReport, error) {
	r := message.LoadReport{Load: a.Load}
	switch a.State {
	case "ready":
	case "draining":
		r.Draining = true
	case "cold":
		r.Cold = true
	default:
		return message.LoadReport{}, trace.BadParameter("probe %s: unknown state %q", url, a.State)
	}
	if math.IsNaN(r.Load) || r.Load < 0 {
		return message.LoadReport{}, trace.BadParameter("probe %s: load %v", url, r.Load)
	}
	return r, nil
}
