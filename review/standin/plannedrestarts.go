package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	rollGap       = 1300 * time.Millisecond // shortest time between the SIGTERMs of two nodes
	rollJitter    = 400 * time.Millisecond
	restartDelay  = 200 * time.Millisecond
	hostGap       = 600 * time.Millisecond // between the drains of two hosts
	hostTail      = 500 * time.Millisecond // served beyond drain_ms
	drainTime     = 5 * time.Second
	hostDownTime  = 4 * time.Second
	plannedLength = 90 * time.Second
	users         = 100
	nodes         = 5
	rolledNodes   = 2 // the others keep running
	hosts         = 40
)

// plannedRestarts restarts nodes and hosts in turn, all of them planned. A host drains,
// exits and starts again under its ID.
func plannedRestarts(p *play) error {
	p.hash = "mod"
	if err := p.begin(nodes, hosts); err != nil {
		return err
	}
	r, err := p.addRequester("amd-a", "127.77.30.1")
	if err != nil {
		return err
	}
	over := make(chan struct{})
	time.AfterFunc(plannedLength, func() { close(over) })
	var wg sync.WaitGroup
	if p.trouble {
		wg.Add(2)
		go func() { defer wg.Done(); p.roll(over) }()
		go func() { defer wg.Done(); p.restartHosts(over) }()
	}
	var served, reset, late, notOpen atomic.Int64
	for n := range users {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := 0; ; k++ {
				select {
				case <-over:
					return
				case <-time.After(time.Duration(rand.IntN(50)) * time.Millisecond):
				}
				f, err := r.open(route)
				if err != nil {
					notOpen.Add(1)
					continue
				}
				for q := range 8 {
					id := fmt.Sprintf("u%d-%d-%d", n, k, q)
					if err = f.do(id, budget); err != nil {
						break
					}
					served.Add(1)
					if f.hostEnded() {
						break
					}
					time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
				}
				switch {
				case err == nil:
				case errors.Is(err, errReset):
					reset.Add(1)
					if h := p.holder(f.key); h != nil && f.reset.system {
						p.record.broken("FLOW", "(a) the requester %s got a reset of the system, and its host %s lives and holds the flow", f.key.requester, h.name())
					}
				default:
					late.Add(1)
				}
				f.close()
			}
		}()
	}
	wg.Wait()
	summary := fmt.Sprintf("%d requests served, %d flows reset, %d requests not answered in time, %d flows not opened", served.Load(), reset.Load(), late.Load(), notOpen.Load())
	p.record.line("%s", summary)
	fmt.Println(summary)
	return nil
}

func (f *flow) hostEnded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended
}

// holder returns the live host that holds the flow, nil if there is none.
func (s *system) holder(k flowKey) *host {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hosts {
		if h.holds(k) {
			return h
		}
	}
	return nil
}

// roll stops the rolled nodes one after the other and starts each again.
func (p *play) roll(over <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-over:
			return
		case <-time.After(rollGap + rand.N(rollJitter)):
		}
		x := p.nodes[n%rolledNodes]
		select {
		case <-x.ended:
			continue
		default:
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			x.signal(syscall.SIGTERM)
			select {
			case <-x.ended:
			case <-time.After(6 * time.Second):
				x.signal(syscall.SIGKILL)
				<-x.ended
			}
			time.Sleep(restartDelay)
			if err := x.start(); err != nil {
				p.record.line("%s not started: %v", x.name, err)
			}
		}()
	}
}

// restartHosts restarts the hosts in turn, each under its ID.
func (p *play) restartHosts(over <-chan struct{}) {
	p.mu.Lock()
	ids := []uint64{}
	for id := range p.hosts {
		ids = append(ids, id)
	}
	p.mu.Unlock()
	busy := make(map[uint64]bool)
	var mu sync.Mutex
	for n := 0; ; n++ {
		select {
		case <-over:
			return
		case <-time.After(hostGap):
		}
		id := ids[n%len(ids)]
		mu.Lock()
		skip := busy[id]
		busy[id] = true
		mu.Unlock()
		if skip {
			continue
		}
		go func() {
			p.mu.Lock()
			h := p.hosts[id]
			p.mu.Unlock()
			h.drain(p.store)
			time.Sleep(drainTime + hostTail)
			h.exit(p.store)
			time.Sleep(hostDownTime)
			next := &host{id: h.id, service: h.service, zone: h.zone, addr: h.addr, work: h.work, reqPort: h.reqPort, halfOpenSilent: h.halfOpenSilent, record: h.record}
			if err := next.start(); err != nil {
				p.record.line("host %s not started: %v", h.name(), err)
				return
			}
			p.mu.Lock()
			p.hosts[id] = next
			p.mu.Unlock()
			p.record.line("host %s started again", next.name())
			p.store.put(next.key(), next.entry())
			mu.Lock()
			busy[id] = false
			mu.Unlock()
		}()
	}
}
