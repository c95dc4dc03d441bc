package prober

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
	"egrettack.example/node/metrics"
)

type targets struct {
	hosts   []*snapshot.Host
	reports chan string
}

func (f *targets) ProbeTargets(time.Duration) []*snapshot.Host { return f.hosts }

func (f *targets) Report(_ time.Duration, h snapshot.HostID, r message.LoadReport) {
	f.reports <- fmt.Sprintf("%d %+v", h, r)
}

// Guards against answers that are misread, and against odd answers that count
// as healthy.
func TestReports(t *testing.T) {
	mux := http.NewServeMux()
	hosts := &targets{reports: make(chan string, 16)}
	srv := httptest.NewServer(mux)
	defer srv.Close()
	want := make(map[string]bool)
	failed := message.LoadReport{ProbeFailed: true}
	for i, c := range []struct {
		status int
		body   string
		want   message.LoadReport
	}{
		{200, `{"state": "ready", "load": 0.4}`, message.LoadReport{Load: 0.4}},
		{200, `{"state": "draining", "load": 1}`, message.LoadReport{Load: 1, Draining: true}},
		{200, `{"state": "cold"}`, message.LoadReport{Cold: true}},
		{200, `{"state": "fine"}`, failed},
		{200, `{"state": "ready", "load": -1}`, failed},
		{200, `not JSON`, failed},
		{503, `{"state": "ready"}`, failed},
		{302, `{"state": "ready"}`, failed},
	} {
		path := fmt.Sprintf("/%d", i)
		mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/0")
			w.WriteHeader(c.status)
			fmt.Fprint(w, c.body)
		})
		hosts.hosts = append(hosts.hosts, &snapshot.Host{ID: snapshot.HostID(i), HealthURL: srv.URL + path})
		want[fmt.Sprintf("%d %+v", i, c.want)] = true
	}
	hosts.hosts = append(hosts.hosts, &snapshot.Host{ID: 99}) // without an endpoint
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := New(Config{Engine: hosts, Now: func() time.Duration { return 0 }, Metrics: metrics.New(), Log: slog.New(slog.DiscardHandler)})
	go func() { _ = p.Run(ctx) }()
	for range len(want) {
		select {
		case got := <-hosts.reports:
			if !want[got] {
				t.Errorf("unexpected report %s", got)
			}
			delete(want, got)
		case <-time.After(5 * time.Second):
			t.Fatalf("missing reports: %v", want)
		}
	}
}
