// Package metrics owns the Prometheus metrics of one instance. Each part of
// the node gets the metrics it counts in; the state of the engine is read when
// metrics are collected.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const namespace = "egrettack"

// Metrics are all metrics that parts of the node count in.
type Metrics struct {
	Registry *prometheus.Registry

	Packets    *prometheus.CounterVec // verdict, reason
	SendErrors prometheus.Counter
	Batch      prometheus.Histogram

	ControlSent     *prometheus.CounterVec // type; bytes
	ControlReceived *prometheus.CounterVec // type; bytes
	ControlRejected *prometheus.CounterVec // reason
	ControlLimited  *prometheus.CounterVec // type
	LearnDropped    prometheus.Counter
	TickGap         prometheus.Histogram

	Pulls   *prometheus.CounterVec // result
	Fetches *prometheus.CounterVec // result
	Probes  *prometheus.CounterVec // result
	Refused prometheus.Counter
}

// New returns metrics that are registered with a registry of their own.
func New() *Metrics {
	m := &Metrics{Registry: prometheus.NewRegistry()}
	m.Registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	m.Packets = m.counters("packets_total", "Packets by what was done with them and why.", "verdict", "reason")
	m.SendErrors = m.counter("send_errors_total", "Datagrams on the data socket that the kernel refused.")
	m.Batch = m.histogram("receive_batch_packets", "Packets per read of the data socket.",
		prometheus.ExponentialBuckets(1, 2, 7))
	m.ControlSent = m.counters("control_sent_bytes_total", "UDP payload sent on the control socket.", "type")
	m.ControlReceived = m.counters("control_received_bytes_total", "UDP payload accepted on the control socket.", "type")
	m.ControlRejected = m.counters("control_rejected_total", "Control datagrams that were not accepted.", "reason")
	m.ControlLimited = m.counters("control_limited_total", "Control messages held back by the budget.", "type")
	m.LearnDropped = m.counter("learn_dropped_total", "Learn messages dropped because their queue was full.")
	m.TickGap = m.histogram("tick_gap_seconds", "Time between two turns of the control loop.",
		[]float64{.05, .06, .08, .1, .2, .5, 1, 2, 5})
	m.Pulls = m.counters("pulls_total", "Pages of group entries pulled from peers.", "result")
	m.Fetches = m.counters("snapshot_fetches_total", "Snapshot differences fetched from peers.", "result")
	m.Probes = m.counters("probes_total", "Health probes of backend servers.", "result")
	m.Refused = m.counter("snapshots_refused_total", "Snapshots older than the one in force.")
	return m
}

func (m *Metrics) counters(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.Registry.MustRegister(c)
	return c
}

func (m *Metrics) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	m.Registry.MustRegister(c)
	return c
}

func (m *Metrics) histogram(name, help string, buckets []float64) prometheus.Histogram {
	h := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets})
	m.Registry.MustRegister(h)
	return h
}

// CounterFunc registers a counter that is read when metrics are collected.
func (m *Metrics) CounterFunc(name, help string, f func() float64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, f))
}
