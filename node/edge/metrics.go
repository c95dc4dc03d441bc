package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"egrettack.example/core/steer"
)

const namespace = "egrettack"

// metrics are the Prometheus metrics of an instance.
type metrics struct {
	registry                *prometheus.Registry
	packets                 *prometheus.CounterVec // action, reason
	storeCalls              *prometheus.CounterVec // kind, result
	peerBytes               *prometheus.CounterVec // direction
	linkWaits, linkRefusals *prometheus.CounterVec // kind
	linkBytes               prometheus.Counter
	processorRefusals       *prometheus.CounterVec // kind
	shortages               prometheus.Histogram

	shareDecisions *prometheus.CounterVec // share, action, reason

	requests   prometheus.Histogram
	decisions  prometheus.Histogram
	storeReads prometheus.Histogram
	malformed  prometheus.Counter
	sendErrors prometheus.Counter
	holdFull   prometheus.Counter
	panics     prometheus.Counter
	hedges     *prometheus.CounterVec // outcome
}

func newMetrics(i *Instance, logLost func() uint64) *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
		m.registry.MustRegister(c)
		return c
	}
	vector := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
		m.registry.MustRegister(c)
		return c
	}
	gauge := func(name, help string, f func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, f))
	}
	m.packets = vector("packets_total", "Packets by what was done with them and why.", "action", "reason")
	m.storeCalls = vector("store_calls_total", "Calls to the settings store.", "kind", "result")
	m.peerBytes = vector("peer_bytes_total", "Bytes of datagrams between instances.", "direction")
	m.linkWaits = vector("link_waits_total", "New flows that had to wait for room at the link.", "kind")
	m.linkRefusals = vector("link_refusals_total", "New flows that were refused for lack of room at the link.", "kind")
	m.linkBytes = counter("link_bytes_total", "Bytes of callers' packets sent to servers.")
	m.processorRefusals = vector("processor_refusals_total", "New flows that were refused since the processor was short.", "kind")
	m.shareDecisions = vector("share_decisions_total", "Decisions on new flows that depended on the share of their kind.", "share", "action", "reason")
	m.registry.MustRegister(newShareCollector(i))
	histogram := func(name, help string, buckets []float64) prometheus.Histogram {
		h := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets})
		m.registry.MustRegister(h)
		return h
	}
	m.requests = histogram("request_seconds",
		"Time from the data of a request to the first acknowledgement of its answer, as callers' packets show it.",
		[]float64{.005, .01, .02, .05, .1, .15, .2, .5, 1, 2})
	m.decisions = histogram("decision_seconds", "Time to decide on a new flow and to send its packet.",
		[]float64{1e-6, 5e-6, 2e-5, 1e-4, 5e-4, 2e-3, 1e-2})
	m.storeReads = histogram("store_read_seconds", "Time of good reads of the settings store.",
		[]float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 3})
	m.shortages = histogram("processor_shortage_seconds", "Times for which packets were waiting without a break, from 5 ms on.",
		[]float64{.01, .03, .05, .1, .2, .5, 1, 3, 10})
	m.malformed = counter("malformed_packets_total", "Packets that could not be read.")
	m.sendErrors = counter("send_errors_total", "Datagrams that the kernel refused.")
	m.holdFull = counter("hold_full_total", "Packets lost because the hold buffer was full.")
	m.hedges = vector("hedges_total", "Flows that were due for a second SYN, by what became of them.", "outcome")
	m.panics = counter("panics_total", "Failures of the program that were contained.")
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines that did not fit the buffer.",
	}, func() float64 { return float64(logLost()) }))
	locked := func(f func() float64) func() float64 {
		return func() float64 {
			i.mu.Lock()
			defer i.mu.Unlock()
			return f()
		}
	}
	gauge("flows", "Flows noted by this instance.", locked(func() float64 { return float64(i.engine.FlowCount()) }))
	gauge("held_packets", "Packets that wait for the catalog.", locked(func() float64 { return float64(len(i.held.packets)) }))
	gauge("waiting_flows", "New flows that wait for room at the servers.", locked(func() float64 { return float64(i.waiting.Len()) }))
	gauge("link_waiting_flows", "New flows that wait for room at the link.", locked(func() float64 { return float64(len(i.uplink.waiters)) }))
	gauge("link_rate_bytes_per_second", "Rate of the link: as set, corrected by what handshakes show.",
		locked(func() float64 { return i.uplink.account.Status(i.clock.now()).Rate }))
	gauge("link_queue_seconds", "Expected time of a packet in the queue at the link.",
		locked(func() float64 { return i.uplink.account.Status(i.clock.now()).Queue.Seconds() }))
	gauge("processor_waiting_flows", "New flows that wait for the processor.", func() float64 { return float64(i.processor.backlog.Waiting()) })
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "packet_wait_seconds_total",
		Help: "Time for which no packet was waiting: its rate is the headroom of the processor. 0 without processor_wait.",
	}, i.packetWait))
	gauge("opening_inquiries", "Flows whose opening the peers are being asked for.",
		locked(func() float64 { return float64(len(i.openings.inquiries)) }))
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "hedges_won_total", Help: "Flows that a second SYN has opened.",
	}, locked(func() float64 { return float64(i.engine.HedgesWon()) })))
	gauge("hedging_max_share", "Largest share of second SYNs in the openings, as set.",
		locked(func() float64 { return i.settings.Hedging.MaxShare }))
	gauge("config_version", "Version in force.", locked(func() float64 { return float64(i.catalog.Version()) }))
	m.registry.MustRegister(newEvacuationCollector(i), newWarmUpCollector(i))
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "warm_up_flows_total", Help: "New flows sent to servers that warm up with a limit.",
	}, locked(func() float64 { return float64(i.engine.WarmUpFlows()) })))
	gauge("catalog_age_seconds", "Time since the catalog was known to be current.",
		locked(func() float64 { return (i.clock.now() - i.catalog.AsOf()).Seconds() }))
	return m
}

func (m *metrics) countDecision(v steer.Verdict) {
	m.packets.WithLabelValues(v.Action.String(), v.Reason.String()).Inc()
	m.countShare(v)
}

func (m *metrics) countStoreCall(kind string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.storeCalls.WithLabelValues(kind, result).Inc()
}
