package callers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/testkit/work"
)

// Outcome is what a caller was told.
type Outcome string

const (
	// Answered: the whole answer came and fits the request.
	Answered Outcome = "answered"
	// Refused: a reset answered the SYN.
	Refused Outcome = "refused"
	// Shed: the host answered that it did not run the request.
	Shed Outcome = "shed"
	// Broken: reset or silence after the connection was established.
	Broken Outcome = "broken"
	// Lost: no answer to the SYN at all.
	Lost Outcome = "lost"
	// Misrouted: the answer belongs to another request or service.
	Misrouted Outcome = "misrouted"
)

// Result is the fate of one request.
type Result struct {
	ID       string        `json:"id"`
	Path     string        `json:"path"`
	Outcome  Outcome       `json:"outcome"`
	Host     uint32        `json:"host"`
	Tries    int           `json:"tries"`
	Events   uint64        `json:"events,omitempty"`
	Local    string        `json:"local"`
	Err      string        `json:"err,omitempty"`
	At       time.Time     `json:"at"`
	Duration time.Duration `json:"duration"`
}

const (
	// connectWait allows for SYN retransmissions after 1, 3 and 7 s.
	connectWait = 15 * time.Second
	// firstRetry is the wait after the first refusal; it doubles each time.
	firstRetry = 100 * time.Millisecond
)

// perform runs one request and tries again after a refusal.
func (p *Pool) perform(ctx context.Context, id string, l *Load) Result {
	start := time.Now()
	var r Result
	for try := 0; ; try++ {
		r = p.try(ctx, id, l)
		r.Tries = try + 1
		if (r.Outcome != Refused && r.Outcome != Shed) || try >= l.Retry || ctx.Err() != nil {
			break
		}
		p.count(r.Outcome)
		time.Sleep(firstRetry << min(try, 5))
	}
	r.ID, r.Path, r.At, r.Duration = id, l.Kind.Path, start, time.Since(start)
	return r
}

func (p *Pool) try(ctx context.Context, id string, l *Load) Result {
	dial, cancel := context.WithTimeout(context.Background(), connectWait)
	defer cancel()
	from, port := p.source(l)
	c, err := p.net.Dial(dial, from, port, l.Kind.Address)
	for err != nil && strings.Contains(err.Error(), "port is in use") && dial.Err() == nil {
		from, port = p.source(l)
		c, err = p.net.Dial(dial, from, port, l.Kind.Address)
	}
	if err != nil {
		return Result{Outcome: connectOutcome(err), Err: err.Error(), Local: fmt.Sprintf("%s:%d", from, port)}
	}
	defer c.Close()
	r := Result{}
	// The stack has no address any more for a connection that was reset.
	if a := c.LocalAddr(); a != nil {
		r.Local = fmt.Sprint(a)
	}
	if err := p.send(c, id, l); err != nil {
		r.Outcome, r.Err = Broken, "send: "+err.Error()
		return r
	}
	if l.Every > 0 {
		p.follow(ctx, c, id, l, &r)
	} else {
		p.receive(c, id, l, &r)
	}
	return r
}

func connectOutcome(err error) Outcome {
	if strings.Contains(err.Error(), "connection was refused") {
		return Refused
	}
	return Lost
}

func (p *Pool) send(c net.Conn, id string, l *Load) error {
	body := p.body(l.Size)
	_ = c.SetWriteDeadline(time.Now().Add(l.Wait))
	return work.Write(c, work.Request{
		ID: id, Service: l.Kind.Number, Kind: l.Kind.Name, Work: l.Work.Microseconds(),
		Answer: l.Answer, Every: l.Every.Microseconds(), Body: work.Describe(body),
	}, body)
}

func (p *Pool) receive(c net.Conn, id string, l *Load, r *Result) {
	_ = c.SetReadDeadline(time.Now().Add(l.Wait + l.Work))
	var a work.Answer
	if err := work.ReadHeader(c, &a); err != nil {
		r.Outcome, r.Err = Broken, "read answer: "+err.Error()
		return
	}
	r.Host = a.Host
	switch {
	case a.ID != id || a.Status == work.Wrong:
		r.Outcome, r.Err = Misrouted, fmt.Sprintf("answer to %q with status %q", a.ID, a.Status)
		return
	case a.Status == work.Busy:
		r.Outcome = Shed
		return
	case a.Size != l.Answer:
		r.Outcome, r.Err = Broken, fmt.Sprintf("answer of %d bytes, want %d", a.Size, l.Answer)
		return
	}
	if err := work.ReadBody(c, a.Body); err != nil {
		r.Outcome, r.Err = Broken, "read body: "+err.Error()
		return
	}
	r.Outcome = Answered
}

var errEvents = errors.New("events missing or repeated")

// follow reads a feed until ctx is over, and one event at least. The feed breaks
// when an event is missing or repeated, or when none comes for Load.Wait.
func (p *Pool) follow(ctx context.Context, c net.Conn, id string, l *Load, r *Result) {
	if l.Ping > 0 {
		pings, cancel := context.WithCancel(ctx)
		defer cancel()
		go ping(pings, c, l.Ping)
	}
	if !next(c, id, l, r) {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	last := time.Now()
	for ctx.Err() == nil {
		if !next(c, id, l, r) {
			// The end of ctx shows as a time-out.
			if ctx.Err() == nil || !strings.Contains(r.Err, "i/o timeout") {
				return
			}
			break
		}
		last = time.Now()
	}
	r.Outcome, r.Err = Answered, ""
	if silent := time.Since(last); silent > stallLimit+l.Every {
		r.Outcome, r.Err = Broken, fmt.Sprintf("feed: no event in the last %s", silent.Round(time.Millisecond))
	}
}

// next reads one event into r. It returns false when the feed is broken.
func next(c net.Conn, id string, l *Load, r *Result) bool {
	_ = c.SetReadDeadline(time.Now().Add(l.Wait))
	a, err := event(c)
	if err == nil && a.ID != id {
		r.Outcome, r.Err = Misrouted, "event of "+a.ID
		return false
	}
	if err == nil && a.Event != r.Events+1 {
		err = trace.Wrap(errEvents, "event %d after %d", a.Event, r.Events)
	}
	if err != nil {
		r.Outcome, r.Err = Broken, "feed: "+err.Error()
		return false
	}
	r.Events, r.Host = a.Event, a.Host
	return true
}

// stallLimit is how long a feed may have been without an event at its end. It
// allows for three lost packets in a row.
const stallLimit = 3 * time.Second

// ping sends bytes that the host ignores until the connection is closed, as
// clients of a feed do to notice a dead connection.
func ping(ctx context.Context, c net.Conn, every time.Duration) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if _, err := c.Write([]byte("ping")); err != nil {
				return
			}
		}
	}
}

func event(c net.Conn) (work.Answer, error) {
	var a work.Answer
	if err := work.ReadHeader(c, &a); err != nil {
		return a, err
	}
	return a, work.ReadBody(c, a.Body)
}
