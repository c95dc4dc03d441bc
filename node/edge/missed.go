package edge

import (
	"context"
	"net/netip"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/node/progress"
)

// missedReads is the state of the reads of what a peer of the former release has not passed on. An
// instance makes one for all that it missed since the last, at a time between readFraction and
// followFraction of the time within which changes have to be in force, so that those of a fleet are spread.
type missedReads struct {
	due   time.Duration // 0 if none was drawn
	known bool          // a log line has told of what is missed
}

// missedDue returns the time at which the evacuations that the catalog may lack are read, and reports
// false if it lacks none, or the store is lost.
func (i *Instance) missedDue(r *readState) (time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	m, ok := i.catalog.Missed()
	now := i.clock.now()
	// The store may answer this instance again although it has refused it: it answers others.
	lost := i.state.store.lost && i.catalog.AsOf() <= i.state.store.lostAt
	switch {
	case !ok:
		r.missed = missedReads{}
		return 0, false
	case lost || !i.catalog.Complete():
		r.missed.due = 0
		return 0, false
	case r.missed.due == 0:
		r.missed.due = i.drawMissedDue(now, m.Since)
	}
	if !r.missed.known {
		r.missed.known = true
		i.log.Info("evacuations missed", "after", m.After, "up_to", m.UpTo, "limits", m.Limits, "age", now-m.Since,
			"source", sourceName(i.peers.fleet.Source()), "read_in", r.missed.due-now)
	}
	return max(r.missed.due, r.notBefore), true
}

// drawMissedDue draws the time of a read of what was missed since a time, from now on. After a longer loss
// of the store the reads are spread as well.
func (i *Instance) drawMissedDue(now, since time.Duration) time.Duration {
	within := i.settings.CurrentWithin()
	first, last := max(now, since+fractionOf(within, readFraction)), since+fractionOf(within, followFraction)
	if now-since > within {
		last = now + fractionOf(within, readFraction)
	}
	return first + time.Duration(i.random.Float64()*float64(max(0, last-first)))
}

// readMissed reads the evacuations that the catalog may lack, and the configuration if it lacks the limits.
func (i *Instance) readMissed(ctx context.Context) error {
	i.mu.Lock()
	m, _ := i.catalog.Missed()
	i.mu.Unlock()
	at := i.clock.now()
	ch, err := i.readOperatorItems(ctx, m.Limits)
	if err != nil {
		return err
	}
	if i.addMissed(at, m, ch) {
		return nil
	}
	return i.read(ctx) // the store is of another epoch
}

func (i *Instance) readOperatorItems(ctx context.Context, withConfig bool) (*catalog.Change, error) {
	ctx, cancel := i.withReadLimit(ctx)
	defer cancel()
	ch, err := i.store.OperatorItems(ctx, withConfig)
	return ch, progress.Cause(ctx, err)
}

// addMissed applies a list that was read at the given time. It reports false if the list is of another
// epoch of the store.
func (i *Instance) addMissed(at time.Duration, m catalog.Missed, ch *catalog.Change) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	now, from := i.adjustedTime(), sourceName(netip.Addr{})
	ch.Source = from
	a := i.catalog.AddMissed(now, at, ch, m.Limits)
	if a.Stale {
		i.log.Info("missed evacuations not read", "epoch", ch.Epoch, "revision", ch.Revision, "known", i.catalog.Position())
		return false
	}
	i.log.Info("missed evacuations read", "after", m.After, "up_to", m.UpTo, "revision", ch.Revision, "evacuations", len(ch.Evacuations),
		"began", len(a.Evacuated), "ended", len(a.EvacuationsEnded), "limits", m.Limits, "age", now-m.Since)
	i.logApplied(a, ch, from, now-at)
	i.updateDomainSizes()
	i.reactToUpdate(now)
	return true
}
