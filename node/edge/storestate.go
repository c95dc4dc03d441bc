package edge

import (
	"time"

	"egrettack.example/core/fleet"
)

// refusedFor is how long an instance that the store does not answer, while it
// answers others, reports that. It does not read while others send it changes, so
// it would not notice the end otherwise.
const refusedFor = 10 * time.Second

// storeState is what the instance knows of its access to the store.
type storeState struct {
	lost         bool          // the last read failed
	lostAt       time.Duration // when the last failed read began
	refusedUntil time.Duration // the store did not answer this instance, but others
}

// record records the result of a read that began at the given time, when the
// catalog was current as of asOf. A read that fails after others have read the
// store since the last failure shows that the store answers them only.
func (s *storeState) record(now, began, asOf time.Duration, lost bool) {
	switch {
	case !lost:
		s.refusedUntil = 0
	case s.lost && asOf > s.lostAt:
		s.refusedUntil = now + refusedFor
	}
	s.lost = lost
	if lost {
		s.lostAt = began
	}
}

// mayBeBack reports whether others have read the store since the last failure,
// so that it may answer this instance again.
func (s *storeState) mayBeBack(now, asOf time.Duration) bool {
	return s.lost && asOf > s.lostAt && now >= s.refusedUntil
}

// storeAccess returns the instance's access to the store.
func (i *Instance) storeAccess(now time.Duration) fleet.StoreAccess {
	return fleet.StoreAccess{Lost: i.state.store.lost, Unreachable: now < i.state.store.refusedUntil}
}

// storeLostByAll reports whether the catalog is out of date because the store
// answers neither this instance nor those that it follows, as far as is known.
func (i *Instance) storeLostByAll(now time.Duration) bool {
	if age, _ := i.catalog.Age(now); age <= i.staleness() {
		return false
	}
	access := i.storeAccess(now)
	return access.Lost && !access.Unreachable || i.peers.fleet.SourceLostStore(now)
}

// recordStoreResult records whether the store answered a read that began at the
// given time, and logs when it is lost or regained.
func (i *Instance) recordStoreResult(began time.Duration, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now, was, lost := i.clock.now(), i.state.store.lost, err != nil
	i.state.store.record(now, began, i.catalog.AsOf(), lost)
	switch {
	case lost == was:
	case lost:
		i.log.Warn("store lost", "error", err, "revision", i.catalog.Revision(), "age", now-i.catalog.AsOf())
	default:
		i.log.Info("store regained", "revision", i.catalog.Revision())
	}
	i.reportStoreLost(now)
}

// reportStoreLost tells the followers when the store has been lost by all: they
// read it less meanwhile.
func (i *Instance) reportStoreLost(now time.Duration) {
	was, lost := i.peers.reportedStoreLost, i.storeLostByAll(now)
	i.peers.reportedStoreLost = lost
	if was || !lost {
		return
	}
	for _, a := range i.peers.fleet.Followers(now) {
		i.sendUpdate(now, a, 0)
	}
}
