package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	freeze       = 3 * time.Second
	openInterval = 10 * time.Millisecond
	openedFlows  = 180
	calm         = 6 * time.Second // from the end of the freeze; stable_window_ms is 5,000
	budget       = 2 * time.Second
	flowTime     = 2 * time.Second // bound flow_ms
)

// arrivals is where the packets of a flow arrived.
type arrivals struct{ own, others int }

// delayedSYN freezes one of the two nodes of a zone while flows are opened. Flows whose
// SYN waits in the frozen node open by way of the other one. Each flow has a request at
// once, a pause, and another request when the node has been calm for longer than the
// stable window.
func delayedSYN(p *play) error {
	if err := p.begin(2, 6); err != nil {
		return err
	}
	r, err := p.addRequester("amd-a", "127.77.30.1")
	if err != nil {
		return err
	}
	var mu sync.Mutex
	flowHost := make(map[flowKey]*host)
	seen := make(map[flowKey]*arrivals)
	watched := make(map[flowKey]bool)
	for _, h := range p.hosts {
		h.ran = func(h *host, k flowKey, _ string) {
			mu.Lock()
			defer mu.Unlock()
			if flowHost[k] == nil {
				flowHost[k] = h
			}
		}
		h.arrived = func(h *host, k flowKey, _ *packet) {
			mu.Lock()
			defer mu.Unlock()
			if !watched[k] {
				return
			}
			if flowHost[k] == h {
				seen[k].own++
			} else {
				seen[k].others++
			}
		}
	}
	if p.trouble {
		p.nodes[0].signal(syscall.SIGSTOP)
		time.AfterFunc(freeze, func() { p.nodes[0].signal(syscall.SIGCONT) })
	}
	began := time.Now()
	var flows []*flow
	var wg sync.WaitGroup
	for n := range openedFlows {
		wg.Add(1)
		time.AfterFunc(time.Duration(n)*openInterval, func() {
			defer wg.Done()
			f, err := r.open(route)
			if err != nil {
				p.record.line("flow %d not opened: %v", n, err)
				return
			}
			if err := f.do(fmt.Sprintf("first-%d", n), budget); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			flows = append(flows, f)
		})
	}
	wg.Wait()
	time.Sleep(time.Until(began.Add(freeze + calm)))
	strays, answered := 0, 0
	for n, f := range flows {
		f.mu.Lock()
		strays += min(f.strays, 1)
		f.mu.Unlock()
		mu.Lock()
		watched[f.key], seen[f.key] = true, &arrivals{}
		h := flowHost[f.key]
		mu.Unlock()
		wg.Add(1)
		time.AfterFunc(time.Duration(n)*openInterval, func() {
			defer wg.Done()
			err := f.do(fmt.Sprintf("second-%d", n), budget)
			mu.Lock()
			a := *seen[f.key]
			mu.Unlock()
			switch {
			case err == nil:
				mu.Lock()
				answered++
				mu.Unlock()
				f.close()
			case errors.Is(err, errReset) && h.holds(f.key):
				by := "another host"
				if f.reset.system {
					by = "the system"
				}
				p.record.broken("FLOW", "(a) the requester %s got a reset of %s, and its host %s lives and holds the flow", f.key.requester, by, h.name())
			case errors.Is(err, errDeadline) && a.others >= 3 && a.own == 0 && h.holds(f.key):
				p.record.broken("FLOW", "(b) for %s %d packets of the flow of %s reached other hosts and none its own, %s", flowTime, a.others, f.key.requester, h.name())
			}
		})
	}
	wg.Wait()
	summary := fmt.Sprintf("%d flows opened and served, %d of them got a SYN+ACK of a further host later, %d second requests answered", len(flows), strays, answered)
	p.record.line("%s", summary)
	fmt.Println(summary)
	return nil
}
