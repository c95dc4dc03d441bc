package edge

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"egrettack.example/core/catalog"
	"egrettack.example/core/pacing"
	"egrettack.example/core/steer"
	"egrettack.example/settings/edge"
)

var kindsByName = map[string]catalog.Kind{
	"safe": catalog.Safe, "unsafe": catalog.Unsafe, "upload": catalog.Upload, "download": catalog.Download,
}

// setShares puts the shares of the kinds of request in force.
func (i *Instance) setShares(list []edge.Share) {
	if len(list) == 0 && i.engine.Shares().Count() == 0 {
		return
	}
	shares := make([]steer.Share, 0, len(list))
	for _, s := range list {
		x := steer.Share{Kind: kindsByName[s.Kind], Priority: steer.AnyPriority, Guarantee: s.Guarantee, Ceiling: s.Ceiling}
		if s.Priority != nil {
			x.Priority = *s.Priority
		}
		shares = append(shares, x)
	}
	i.engine.SetShares(shares)
	account := i.engine.Shares()
	i.uplink.account.SetShare(nil)
	if account.Count() > 0 {
		i.uplink.account.SetShare(account.KindShare)
	}
	queue := make([]pacing.Share, account.Count())
	for n := range queue {
		queue[n].Guarantee, queue[n].Ceiling = account.Parts(n)
	}
	i.waiting.SetShares(i.clock.now(), queue, i.shareOfWaiting)
	i.setLinkShares(queue)
}

// setLinkShares puts the shares of the queue of the link in force. Without shares in the
// settings each kind is guaranteed an equal part, so that none fills it.
func (i *Instance) setLinkShares(list []pacing.Share) {
	if len(list) == 0 {
		for range kindNames {
			list = append(list, pacing.Share{Guarantee: 1 / float64(len(kindNames)+1), Ceiling: 1})
		}
		list = append(list, pacing.Share{Ceiling: 1}) // kinds that are not known here
	}
	i.uplink.queue.SetShares(i.clock.now(), list, i.linkShareOf)
}

// linkShareOf returns the place of a flow's share in the list of the link's queue.
func (i *Instance) linkShareOf(w *linkWaiter) int {
	if i.engine.Shares().Count() > 0 {
		return i.engine.ShareOf(w.packet.Dest)
	}
	return min(int(w.route.Kind), len(kindNames))
}

// yieldLinkPlace is yieldPlace for the queue of the link.
func (i *Instance) yieldLinkPlace(now time.Duration, share int) {
	_, w, due, ok := i.uplink.queue.Yield(now, share)
	if !ok {
		return
	}
	if due {
		i.dropLinkWaiting(now, w)
		return
	}
	i.endLinkWait(w)
	i.refuseForLink(now, w)
}

func (i *Instance) shareOfWaiting(h heldPacket) int { return i.engine.ShareOf(h.packet.Dest) }

// yieldPlace makes room in a full queue for a flow whose share is below its part: it
// refuses a flow of the share that exceeds its part by most. A flow whose
// next SYN is due is dropped without an answer, since it may be open elsewhere.
func (i *Instance) yieldPlace(now time.Duration, share int) {
	service, h, due, ok := i.waiting.Yield(now, share)
	if !ok {
		return
	}
	v := steer.Verdict{Action: steer.Drop, Reason: steer.NotRepeated}
	if !due {
		v = i.engine.YieldQueued(&h.packet, service)
	}
	i.execute(now, now-h.receivedAt, v, &h.packet, h.data, make([]byte, 0, readBuffer))
}

// countShare counts the decisions of shares on new flows.
func (m *metrics) countShare(v steer.Verdict) {
	if v.Share != nil {
		m.shareDecisions.WithLabelValues(v.Share.Name, v.Action.String(), v.Reason.String()).Inc()
	}
}

// shareAttrs returns the state of the share that decided on a new flow.
func shareAttrs(u *steer.ShareUse) []slog.Attr {
	if u == nil {
		return nil
	}
	attrs := []slog.Attr{
		slog.String("share", u.Name), slog.Int("share_in_flight", u.InFlight),
		slog.Float64("guarantee", u.Guarantee), slog.Float64("ceiling", u.Ceiling),
	}
	if u.BeyondSpan {
		attrs = append(attrs, slog.Bool("beyond_span", true))
	}
	return attrs
}

// shareCollector exports the requests in flight and the flows that wait of each share.
type shareCollector struct {
	i        *Instance
	inFlight *prometheus.Desc
	waiting  *prometheus.Desc
}

func newShareCollector(i *Instance) *shareCollector {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{"share"}, nil)
	}
	return &shareCollector{
		i:        i,
		inFlight: desc("share_requests_in_flight", "Requests in flight at this instance."),
		waiting:  desc("share_waiting_flows", "New flows that wait for room at the servers."),
	}
}

// Describe implements prometheus.Collector.
func (c *shareCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- c.inFlight
	ch <- c.waiting
}

// Collect implements prometheus.Collector.
func (c *shareCollector) Collect(ch chan<- prometheus.Metric) {
	c.i.mu.Lock()
	defer c.i.mu.Unlock()
	account := c.i.engine.Shares()
	for n := range account.Count() {
		name := account.Name(n)
		ch <- prometheus.MustNewConstMetric(c.inFlight, prometheus.GaugeValue, float64(account.InFlight(n)), name)
		ch <- prometheus.MustNewConstMetric(c.waiting, prometheus.GaugeValue, float64(c.i.waiting.LenOf(n)), name)
	}
}
