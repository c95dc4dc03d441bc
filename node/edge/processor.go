package edge

import (
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/processor"
	"egrettack.example/core/steer"
	"egrettack.example/node/logging"
)

const (
	// shortageAfter is the time for which packets wait without a break before SYNs wait for
	// the packets of open flows.
	shortageAfter = processor.MaxWait / 5
	// processorLinesPerSecond limits the log lines about shortages of the processor.
	processorLinesPerSecond = 2
	// noRouteClass is the class of SYNs to addresses without a route. Those of the kinds of
	// request are not negative.
	noRouteClass = -1
	// kindBits is the number of bits of a kind in the number of a class.
	kindBits = 8
)

// processorState has the SYNs that wait while the processor is short.
type processorState struct {
	maxWait    atomic.Int64 // of a SYN, nanoseconds; 0 if packets are handled in the order of their arrival
	backlog    processor.Backlog[readPacket]
	logLimiter *logging.Limiter // used by the goroutine that receives packets
}

// readPacket is a packet that was read and is to be handled.
type readPacket struct {
	arrivedAfter time.Duration
	data         []byte
	packet       steer.Packet
}

// setProcessorWait sets the longest time for which a SYN waits while the processor is short.
func (i *Instance) setProcessorWait(d time.Duration) {
	if i.reader != nil {
		i.reader.measuresBusy.Store(d > 0)
		if d == 0 {
			i.reader.wait.end(i.clock.now())
		}
	}
	i.processor.maxWait.Store(int64(d))
}

// takePacket handles a packet that was read. If packets have been waiting for a while, and
// SYNs may wait, it handles all that wait, those of open flows first.
func (i *Instance) takePacket(data, out []byte) {
	if i.processor.maxWait.Load() == 0 {
		i.handlePacket(i.reader.after, data, out)
		return
	}
	busyFor := i.reader.busyFor()
	if busyFor < shortageAfter {
		i.handlePacket(i.reader.after, data, out)
		return
	}
	l := &packetLoop{i: i, busyFor: busyFor, buffer: make([]byte, readBuffer), out: out}
	if first, ok := l.decode(data); ok {
		s := i.processor.backlog.Run(l, first)
		i.metrics.shortages.Observe((busyFor + s.Duration).Seconds())
		l.logShortage("processor was short", s)
	}
}

// packetLoop reads and handles packets during a shortage.
type packetLoop struct {
	i           *Instance
	busyFor     time.Duration // before the loop
	buffer, out []byte
}

// Now implements processor.Handler.
func (l *packetLoop) Now() time.Duration { return l.i.clock.now() }

// Read implements processor.Handler. The data of packets of open flows are valid until the
// next call.
func (l *packetLoop) Read() (processor.Packet[readPacket], bool) {
	for {
		n, ok := l.i.reader.readWaiting(l.buffer)
		if !ok {
			return processor.Packet[readPacket]{}, false
		}
		if p, ok := l.decode(l.buffer[:n]); ok {
			return p, true
		}
	}
}

func (l *packetLoop) decode(data []byte) (p processor.Packet[readPacket], ok bool) {
	l.i.contain("packet", func() {
		v := readPacket{arrivedAfter: l.i.reader.after, data: data}
		if !l.i.decodePacket(data, &v.packet) {
			return
		}
		if p.SYN = v.packet.SYN; p.SYN {
			v.data = append([]byte(nil), data...)
			p.Class = l.i.processorClass(v.packet.Dest)
		}
		p.Value, ok = v, true
	})
	return p, ok
}

// Handle implements processor.Handler.
func (l *packetLoop) Handle(v readPacket) {
	l.i.contain("packet", func() { l.i.handleDecoded(v.arrivedAfter, v.data, &v.packet, l.out) })
}

// Refuse implements processor.Handler.
func (l *packetLoop) Refuse(v readPacket, waited time.Duration) {
	l.i.contain("packet", func() { l.i.refuseForProcessor(&v, waited, l.out) })
}

// refuseForProcessor refuses a SYN for which the processor has no time. A copy of one that
// waits here for something else renews that wait, and a copy of one that was placed is dropped.
func (i *Instance) refuseForProcessor(v *readPacket, waited time.Duration, out []byte) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now, p := i.adjustedTime(), &v.packet
	p.Age = now - v.arrivedAfter
	if i.isWaiting(now, p) || i.uplink.waiters[p.Key()] != nil && i.waitsForLink(now, v.data, p) {
		return
	}
	d := steer.Verdict{Action: steer.Drop, Reason: steer.Late}
	switch {
	case p.ValidFor() <= 0:
	case i.engine.HasFlow(p):
		d.Reason = steer.Duplicate
	default:
		d = i.engine.RefuseQueued(p)
	}
	if d.Action == steer.Reset {
		d.Reason = steer.NoProcessor
		kind := "none"
		if r := i.catalog.Route(p.Dest); r != nil {
			kind = kindName(r.Kind)
		}
		i.metrics.processorRefusals.WithLabelValues(kind).Inc()
	}
	i.execute(now, waited, d, p, v.data, out)
}

// processorClass returns the class of the SYNs to a destination: that of its share, or of its
// kind and priority if there are no shares.
func (i *Instance) processorClass(dest netip.AddrPort) processor.Class {
	i.mu.Lock()
	defer i.mu.Unlock()
	r := i.catalog.Route(dest)
	if r == nil {
		return processor.Class{ID: noRouteClass, Ceiling: 1}
	}
	if a := i.engine.Shares(); a.Count() > 0 {
		share, guarantee, ceiling := a.KindShare(r.Kind, r.Priority)
		return processor.Class{ID: share, Guarantee: guarantee, Ceiling: ceiling}
	}
	priority := max(r.Priority, 0)
	return processor.Class{ID: priority<<kindBits | int(r.Kind), Guarantee: 1 / float64(1+priority), Ceiling: 1}
}

// packetWait returns the time for which no packet was waiting, in seconds.
func (i *Instance) packetWait() float64 {
	if i.reader == nil {
		return 0 // no sockets
	}
	return i.reader.wait.total(i.clock.now()).Seconds()
}

// className returns the name of a class in the log.
func (i *Instance) className(id int) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch a := i.engine.Shares(); {
	case id == noRouteClass:
		return "no_route"
	case a.Count() > 0:
		return a.Name(id)
	}
	return kindName(catalog.Kind(id)) + "/" + strconv.Itoa(id>>kindBits)
}

// Report implements processor.Handler.
func (l *packetLoop) Report(s processor.Summary) {
	l.i.contain("packet", func() { l.logShortage("processor is short", s) })
}

// MaxWait implements processor.Handler.
func (l *packetLoop) MaxWait() time.Duration { return time.Duration(l.i.processor.maxWait.Load()) }

// logShortage logs a shortage if flows had to wait for long.
func (l *packetLoop) logShortage(event string, s processor.Summary) {
	if s.Refused == 0 && s.LongestWait < l.MaxWait()/2 {
		return
	}
	ok, suppressed := l.i.processor.logLimiter.Allow(l.i.clock.now())
	if !ok {
		return
	}
	l.i.log.Info(event, "for", l.busyFor+s.Duration, "max_wait", l.MaxWait(), "packets", s.Packets, "syns_handled", s.Placed,
		"syns_refused", s.Refused, "longest_wait", s.LongestWait, "most_syns_of", l.i.className(s.Most), "syns_of_most", s.OfMost,
		"suppressed", suppressed)
}
