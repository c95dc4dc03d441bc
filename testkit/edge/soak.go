package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Report is the outcome of one soak run.
type Report struct {
	Seed       uint64   `json:"seed"`
	Seconds    float64  `json:"seconds"`
	Counts     Counts   `json:"counts"`
	Calls      int      `json:"store_calls"`
	Further    int      `json:"further_syn_acks"` // of other servers, on open flows
	WarmUps    int      `json:"warm_up_flows"`    // to servers that warm up with a limit
	Violations []string `json:"violations"`
	Faults     []Event  `json:"faults"`
	Share      []Share  `json:"share"` // over time
}

// Event is a fault or a planned change that the soak made.
type Event struct {
	At   float64 `json:"at"`  // seconds since the start
	For  float64 `json:"for"` // seconds, 0 for an instant
	What string  `json:"what"`
}

// Share is the part of the requests served that were sent in a step of time.
type Share struct {
	At     float64 `json:"at"` // seconds since the start
	Asked  int     `json:"asked"`
	Served int     `json:"served"`
}

// shareStep is the width of a step of the share over time.
const shareStep = 500 * time.Millisecond

// soak makes a series of random faults and changes.
type soak struct {
	c   *City
	rnd *rand.Rand
	*record
}

// record is what the series of a run share.
type record struct {
	began  time.Time
	faults []func(*soak) error
	mu     sync.Mutex
	events []Event
	wg     sync.WaitGroup
}

// Soak runs faults drawn from a seed against a city for a while, and checks
// the promises from what callers and servers see.
func Soak(cfg Config, seed uint64, length time.Duration) (*Report, error) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	cfg.Hash = []string{"steady", "mod"}[rnd.IntN(2)]
	more := drawSeries(rand.New(rand.NewPCG(seed, 0)), &cfg)
	drawAnswers(rand.New(rand.NewPCG(seed, math.MaxUint64)), &cfg)
	last := drawUnlisted(rand.New(rand.NewPCG(seed, math.MaxUint64-1)), &cfg)
	drawRepeats(rand.New(rand.NewPCG(seed, math.MaxUint64-2)), &cfg)
	last = append(last, drawEvacuations(rand.New(rand.NewPCG(seed, math.MaxUint64-3)))...)
	drawHedging(rand.New(rand.NewPCG(seed, math.MaxUint64-4)), &cfg)
	last = append(last, drawWarmUps(rand.New(rand.NewPCG(seed, math.MaxUint64-5)), &cfg)...)
	c, err := New(cfg)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var counts Counts
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		counts = c.Load(ctx)
	}()
	rec := record{began: time.Now(), faults: drawFaults(rnd)}
	series := []func(*soak, context.Context) error{(*soak).disturb, (*soak).disturb}
	if rnd.IntN(2) == 0 {
		series = append(series, (*soak).restoreStores)
	}
	series = append(series, more...)
	series = append(series, last...)
	for _, k := range c.callers {
		rec.wg.Go(func() { k.idle(ctx) })
		for range len(more) {
			rec.wg.Go(func() { k.lookups(ctx, fewRequests, lookupPause) })
		}
	}
	errs := make([]error, len(series))
	for n, play := range series {
		s := &soak{c, rand.New(rand.NewPCG(seed, uint64(2+n))), &rec}
		rec.wg.Go(func() { errs[n] = play(s, ctx) })
	}
	rec.wg.Wait()
	<-loaded
	r := &Report{
		Seed: seed, Seconds: time.Since(c.started).Seconds(), Counts: counts, Calls: c.Store.Calls(),
		Violations: c.Violations(), Faults: rec.events, Share: c.shares(), Further: c.further(), WarmUps: c.warmUpFlowCount(),
	}
	return r, errors.Join(errs...)
}

// drawFaults returns the faults and changes of a run. About half of the kinds are
// played, with planned changes in place of the others: the bounds hold only where
// there was no trouble for a while.
func drawFaults(rnd *rand.Rand) []func(*soak) error {
	faults := []func(*soak) error{
		(*soak).kill, (*soak).roll, (*soak).pause, (*soak).hangup, (*soak).cutStore, (*soak).sickStore,
		(*soak).outage, (*soak).dropHistory, (*soak).crashServer, (*soak).restartServers, (*soak).ailServer,
		(*soak).badEntry, (*soak).configureLarge, (*soak).killAll,
	}
	for n := range faults {
		if rnd.IntN(2) == 0 {
			faults[n] = []func(*soak) error{(*soak).configure, (*soak).replaceServer}[n%2]
		}
	}
	return faults
}

// drawSeries returns further series of a run, with the city that they need: planned
// restarts in a third of the runs, freezes in a third. They are drawn apart, so that the
// other faults of a seed stay.
func drawSeries(rnd *rand.Rand, cfg *Config) []func(*soak, context.Context) error {
	switch rnd.IntN(3) {
	case 0:
		cfg.Instances = 4
		return []func(*soak, context.Context) error{(*soak).restartInTurn, (*soak).restartInTurn}
	case 1:
		return []func(*soak, context.Context) error{(*soak).freezeInTurn}
	}
	return nil
}

// drawAnswers lets servers answer late in half of the runs, and draws what callers make of
// it. It is drawn apart like the series.
func drawAnswers(rnd *rand.Rand, cfg *Config) {
	cfg.KeepsEcho = rnd.IntN(2) == 0
	if rnd.IntN(2) == 0 {
		cfg.LateAnswers, cfg.FirstPause = lateAnswersOf, mostFirstPause
	}
}

// drawRepeats lets SYNs arrive a second time in half of the runs. It is drawn apart like the
// series.
func drawRepeats(rnd *rand.Rand, cfg *Config) {
	if rnd.IntN(2) == 0 {
		cfg.RepeatedSYNs, cfg.RepeatAnswers, cfg.DataFirst = repeatedSYNsOf, true, rnd.IntN(2) == 0
		cfg.FirstPause = mostFirstPause
	}
}

// drawHedging lets instances send second SYNs in half of the runs. It is drawn apart like the
// series.
func drawHedging(rnd *rand.Rand, cfg *Config) {
	if rnd.IntN(2) == 0 {
		cfg.HedgingShare = soakHedgingShare
	}
}

// drawUnlisted lets servers lose their entries while they serve in half of the runs, beside
// slow answers. It is drawn apart like the series.
func drawUnlisted(rnd *rand.Rand, cfg *Config) []func(*soak, context.Context) error {
	const (
		servers = 10
		oneSlow = 10 // requests of which one is slow, few enough for the load with all series
	)
	if rnd.IntN(2) == 0 {
		return nil
	}
	cfg.Servers = servers
	cfg.SlowRequests, cfg.SlowWork, cfg.AnswerAcks = oneSlow, slowWork, true
	cfg.LongPauses, cfg.LongPause = longPausesOf, longPause
	return []func(*soak, context.Context) error{(*soak).loseEntries}
}

// disturb makes faults one after the other, which overlap, until ctx is done.
func (s *soak) disturb(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.faults[s.rnd.IntN(len(s.faults))](s); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(s.between(400, 3400)):
		}
	}
	return nil
}

func (s *soak) between(low, high int) time.Duration {
	return time.Duration(low+s.rnd.IntN(high-low+1)) * time.Millisecond
}

func (s *soak) event(lasts time.Duration, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, Event{time.Since(s.c.started).Seconds(), lasts.Seconds(), fmt.Sprintf(format, args...)})
}

func (s *soak) instance() *Instance { return s.c.Instances[s.rnd.IntN(len(s.c.Instances))] }

// later does something after a while, beside other faults. It must not draw.
func (s *soak) later(d time.Duration, f func() error) {
	s.wg.Go(func() {
		time.Sleep(d)
		if err := f(); err != nil {
			s.c.violation("the soak failed: %v", err)
		}
	})
}

func (s *soak) kill() error {
	i, down := s.instance(), s.between(50, 1500)
	i.busy.Lock()
	defer i.busy.Unlock()
	s.event(down, "kill %s", i.Name())
	if err := i.Stop(syscall.SIGKILL); err != nil {
		return err
	}
	time.Sleep(down)
	return i.Start()
}

func (s *soak) killAll() error {
	down := s.between(100, 3000)
	for _, i := range s.c.Instances {
		i.busy.Lock()
		defer i.busy.Unlock()
	}
	s.event(down, "kill all instances")
	for _, i := range s.c.Instances {
		if err := i.Stop(syscall.SIGKILL); err != nil {
			return err
		}
	}
	time.Sleep(down)
	for _, i := range s.c.Instances {
		if err := i.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) roll() error {
	i := s.instance()
	i.busy.Lock()
	defer i.busy.Unlock()
	s.event(0, "stop %s gracefully and start it", i.Name())
	return i.restart()
}

func (s *soak) pause() error {
	i, lasts := s.instance(), s.between(100, 3000)
	i.busy.Lock()
	defer i.busy.Unlock()
	s.event(lasts, "pause %s", i.Name())
	return i.freeze(lasts)
}

// restartInTurn lets servers leave as planned, which start again under their IDs, and
// rolls instances one after the other, until ctx is done.
func (s *soak) restartInTurn(ctx context.Context) error {
	for ctx.Err() == nil {
		for range 1 + s.rnd.IntN(3) {
			s.restartDrained()
		}
		if err := s.roll(); err != nil {
			return err
		}
		time.Sleep(s.between(0, 1500))
	}
	return nil
}

// freezeInTurn freezes instances until ctx is done, with times between in which they are
// in touch again.
func (s *soak) freezeInTurn(ctx context.Context) error {
	for ctx.Err() == nil {
		time.Sleep(s.between(0, 2000))
		if err := s.pause(); err != nil {
			return err
		}
		time.Sleep(s.c.cfg.Settle + s.between(0, 2000))
	}
	return nil
}

// restartDrained restarts a server under its ID, at the same or another address, unless
// too many of its service are away.
func (s *soak) restartDrained() {
	old, serves, away, moves := s.server(), s.c.cfg.DrainBound+s.between(300, 2000), s.between(0, 6000), s.rnd.IntN(2) == 0
	stay := 0
	for _, x := range s.c.Servers() {
		if x.Service == old.Service && !x.Draining() {
			stay++
		}
	}
	if 2*stay <= s.c.cfg.Servers*len(s.c.cfg.Domains) {
		return
	}
	s.event(serves+away, "server %x leaves, and starts again after %s, at another address: %t", old.ID, away, moves)
	s.later(0, func() error {
		if _, err := old.RestartDrained(serves, away, moves); !trace.IsNotFound(err) {
			return err
		}
		return nil // it has crashed meanwhile
	})
}

// loseEntries lets servers lose their entries while they serve, as they leave or while the
// store refuses their writes, until ctx is done.
func (s *soak) loseEntries(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.loseEntry(ctx); err != nil {
			return err
		}
		sleep(ctx, s.between(500, 2500))
	}
	return nil
}

func (s *soak) loseEntry(ctx context.Context) error {
	old, leaves := s.server(), s.rnd.IntN(2) == 0
	serves := s.between(int(unlistedLeast.Milliseconds()), int(unlistedMost.Milliseconds()))
	if old.Unheard() {
		return nil // it is to have its entry back at a time of its own
	}
	s.event(serves, "server %x serves without an entry, and leaves: %t", old.ID, leaves)
	if !leaves {
		s.later(0, func() error { old.LapseAlive(ctx, serves); return nil })
		return nil
	}
	if _, err := s.c.AddServer(old.Service, old.Domain); err != nil {
		return err
	}
	s.later(0, func() error { return old.LeaveUnlisted(ctx, listedLeaving, serves) })
	return nil
}

func (s *soak) hangup() error {
	i := s.instance()
	i.busy.Lock()
	defer i.busy.Unlock()
	s.event(0, "reload %s", i.Name())
	// Until a process handles SIGHUP, the signal ends it.
	if err := i.awaitPages(); err != nil {
		return err
	}
	return i.Signal(syscall.SIGHUP)
}

func (s *soak) cutStore() error {
	i, mode, lasts := s.instance(), ProxyMode(1+s.rnd.IntN(int(numModes)-1)), s.between(500, 5000)
	s.event(lasts, "%s connections of %s to the store", mode, i.Name())
	i.Proxy(mode)
	i.trouble(lasts)
	s.later(lasts, func() error { i.Proxy(Pass); return nil })
	return nil
}

func (s *soak) sickStore() error {
	lasts := s.between(500, 5000)
	f := []Fault{
		{Status: 503},
		{Status: 429},
		{Silent: true},
		{Delay: 250 * time.Millisecond},
		{Mute: true},
	}[s.rnd.IntN(5)]
	s.event(lasts, "store: %+v", f)
	if !f.Mute {
		// A watch that tells nothing must be noticed at once.
		s.c.StoreTrouble(lasts)
	}
	end := s.c.Store.Begin(f)
	s.later(lasts, func() error { end(); return nil })
	return nil
}

// outage takes the store away, so that entries lapse.
func (s *soak) outage() error {
	lasts := s.between(1000, 6000)
	f := s.away()
	s.event(lasts, "store away: %+v", f)
	s.c.StoreTrouble(lasts)
	end := s.c.Store.Begin(f)
	s.later(lasts, func() error { end(); return nil })
	return nil
}

// restoreStores lets the store return from older copies until ctx is done.
func (s *soak) restoreStores(ctx context.Context) error {
	for next := s.between(1000, 6000); ; next = s.between(9000, 14000) {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(next):
		}
		if err := s.restoreStore(); err != nil {
			return err
		}
	}
}

// restoreStore changes the configuration and replaces a server, and lets the store
// return from a copy that is some seconds old. The operator writes its configuration
// again a while later, and there are further such changes.
func (s *soak) restoreStore() error {
	if err := errors.Join(s.replaceServer(), s.drawChange(fewDests, 3+s.rnd.IntN(10))()); err != nil {
		return err
	}
	time.Sleep(s.between(0, 1000))
	f, away, age, again := s.away(), s.between(100, 2000), s.between(500, 10000), s.between(0, 2000)
	change, replace := s.drawChange(fewDests, 1), s.drawReplacement()
	age = min(age, time.Since(s.began)+away) // the first configuration and the servers are in each copy
	s.event(away, "store returns from a copy %s old", age.Round(time.Millisecond))
	s.later(0, func() error {
		s.c.RestoreStore(f, away, age)
		time.Sleep(again)
		s.c.ConfigureAgain()
		return errors.Join(replace(), change())
	})
	return nil
}

func (s *soak) away() Fault {
	return []Fault{{Status: 503, Away: true}, {Silent: true, Away: true}}[s.rnd.IntN(2)]
}

func (s *soak) dropHistory() error {
	s.event(0, "the store drops its history")
	s.c.Store.DropHistory()
	return nil
}

// server draws a server that is not leaving.
func (s *soak) server() *Server {
	list := slices.DeleteFunc(s.c.Servers(), (*Server).Draining)
	return list[s.rnd.IntN(len(list))]
}

func (s *soak) replaceServer() error { return s.drawReplacement()() }

// drawReplacement returns a function that starts a new server and lets an old one
// leave after a while.
func (s *soak) drawReplacement() func() error {
	old, stays := s.server(), s.c.cfg.DrainBound+s.between(500, 3000)
	return func() error {
		if _, err := s.c.AddServer(old.Service, old.Domain); err != nil {
			return err
		}
		s.event(stays, "replace server %x", old.ID)
		if err := old.Drain(); err != nil {
			return err
		}
		s.later(0, func() error {
			old.WaitReported()
			time.Sleep(stays)
			old.Leave()
			return nil
		})
		return nil
	}
}

// crashServer crashes a server, whose address another service may get.
func (s *soak) crashServer() error {
	old := s.server()
	s.event(0, "crash server %x", old.ID)
	old.Crash()
	if s.rnd.IntN(2) == 0 {
		s.later(2*time.Second, func() error {
			s.c.ReuseAddr(old)
			_, err := s.c.AddServer(map[string]string{Feed: Upload, Upload: Feed}[old.Service], old.Domain)
			return err
		})
	}
	_, err := s.c.AddServer(old.Service, old.Domain)
	return err
}

// restartServers crashes some servers at once and starts them again under their
// IDs. Their entries show it later.
func (s *soak) restartServers() error {
	for range 1 + s.rnd.IntN(4) {
		old, entryAfter := s.server(), s.between(0, 1500)
		s.event(entryAfter, "restart server %x", old.ID)
		if _, err := old.Restart(entryAfter); err != nil && !trace.IsNotFound(err) {
			return err
		}
	}
	return nil
}

// ailServer lets a server fail half of its requests for a while.
func (s *soak) ailServer() error {
	ill, how, lasts := s.server(), Ailment(1+s.rnd.IntN(int(numAilments)-1)), s.between(1000, 6000)
	s.event(lasts, "server %x fails with %s", ill.ID, how)
	ill.Ail(how)
	s.later(lasts, func() error { ill.Ail(Well); return nil })
	return nil
}

func (s *soak) badEntry() error {
	s.event(0, "an unreadable entry")
	bad := []string{"{", `{"service":"feed"}`, `{"service":7}`, "\x00\xff"}[s.rnd.IntN(4)]
	key := fmt.Sprintf("servers/i-bad%04x", s.rnd.IntN(1<<16))
	s.later(0, func() error {
		s.c.Store.WaitReachable()
		s.c.Store.PutRaw(key, []byte(bad))
		return nil
	})
	return nil
}

// Numbers of addresses of which a configuration has routes for about half, and of
// those that a caller uses.
const (
	fewDests  = 20
	manyDests = 900
	usedDests = 4
)

func (s *soak) configure() error {
	s.later(0, s.drawChange(fewDests, 1+s.rnd.IntN(5)))
	return nil
}

func (s *soak) configureLarge() error {
	s.later(0, s.drawChange(manyDests, 1+s.rnd.IntN(5)))
	return nil
}

// drawChange returns a function that adds or removes further routes, some times in a
// row. Callers use some of their addresses after the bound.
func (s *soak) drawChange(addresses, times int) func() error {
	configs := make([][]netip.AddrPort, times)
	pauses := make([]time.Duration, len(configs))
	for n := range configs {
		configs[n] = []netip.AddrPort{s.c.Dest(Feed), s.c.Dest(Upload)}
		for k := range addresses {
			if s.rnd.IntN(2) == 0 {
				configs[n] = append(configs[n], s.c.ExtraDest(k))
			}
		}
		pauses[n] = s.between(0, 100)
	}
	used := make([]netip.AddrPort, usedDests*len(s.c.callers))
	for n := range used {
		used[n] = s.c.ExtraDest(s.rnd.IntN(addresses))
	}
	return func() error {
		s.event(0, "change the configuration %d times, at last to %d routes", len(configs), len(configs[len(configs)-1]))
		for n, dests := range configs {
			if err := s.c.Configure(dests...); err != nil {
				return err
			}
			time.Sleep(pauses[n])
		}
		for n, k := range s.c.callers {
			s.later(s.c.cfg.ApplyBound+200*time.Millisecond, func() error {
				for _, dest := range used[usedDests*n:][:usedDests] {
					if f, err := k.open(dest); err == nil {
						f.end() // the server has judged the opening packet
					}
				}
				return nil
			})
		}
		return nil
	}
}

// shares returns the served part of the requests over time.
func (c *City) shares() []Share {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Share
	for _, x := range c.served {
		at := int(x.at / shareStep)
		for len(list) <= at {
			list = append(list, Share{At: (time.Duration(len(list)) * shareStep).Seconds()})
		}
		list[at].Asked++
		if x.err == nil {
			list[at].Served++
		}
	}
	return list
}

// Write stores the report and its plot in a folder.
func (r *Report) Write(dir string) error {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	name := filepath.Join(dir, fmt.Sprintf("soak-%d", r.Seed))
	if err := os.WriteFile(name+".json", b, 0o600); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.WriteFile(name+".svg", r.plot(), 0o600))
}
