package callers

import (
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/testkit/world"
)

// Load is one stream of requests of a kind of work.
type Load struct {
	Kind   world.Kind
	Rate   float64       // new requests a second
	Count  int           // requests in all, 0 for no limit; open feeds for a feed
	Every  time.Duration // time between events; a load with it is a feed
	Size   int           // of the request, bytes
	Answer int           // of the answer, bytes
	Work   time.Duration // in the slot, 0 leaves it to the host
	Retry  int           // times a refused request is tried again
	Wait   time.Duration // longest wait for an answer or for an event
	Ping   time.Duration // time between bytes that a feed's caller sends, 0 for none
	Reopen bool          // a broken feed is opened again
	Ports  int           // source ports to use, 0 for all
}

// defaultWait is above the longest service time of the sample tree and the
// first five retransmissions of TCP.
const defaultWait = 20 * time.Second

// ParseLoad reads "PATH:key=value,...", for example
// "prairie/register/lookup:rate=40,answer=2000".
func ParseLoad(s string, w *world.World) (Load, error) {
	path, rest, _ := strings.Cut(s, ":")
	l := Load{Wait: defaultWait, Size: 100, Answer: 100}
	var err error
	if l.Kind, err = w.Kind(path); err != nil {
		return l, err
	}
	for _, f := range strings.Split(rest, ",") {
		k, v, _ := strings.Cut(f, "=")
		if err := l.set(k, v); err != nil {
			return l, trace.Wrap(err, "load %q, field %q", s, f)
		}
	}
	if l.Rate == 0 && l.Count == 0 {
		return l, trace.BadParameter("load %q has neither rate nor count", s)
	}
	return l, nil
}

func (l *Load) set(k, v string) (err error) {
	switch k {
	case "":
	case "rate":
		l.Rate, err = strconv.ParseFloat(v, 64)
	case "count":
		l.Count, err = strconv.Atoi(v)
	case "every":
		l.Every, err = time.ParseDuration(v)
	case "size":
		l.Size, err = strconv.Atoi(v)
	case "answer":
		l.Answer, err = strconv.Atoi(v)
	case "work":
		l.Work, err = time.ParseDuration(v)
	case "retry":
		l.Retry, err = strconv.Atoi(v)
	case "wait":
		l.Wait, err = time.ParseDuration(v)
	case "ping":
		l.Ping, err = time.ParseDuration(v)
	case "reopen":
		l.Reopen, err = strconv.ParseBool(v)
	case "ports":
		l.Ports, err = strconv.Atoi(v)
	default:
		err = trace.BadParameter("unknown field")
	}
	return err
}
