package edge

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Ports of an instance; instances differ by their addresses.
const (
	healthPort   = 8167
	metricsPort  = 7735
	internalPort = 7720
	lastPort     = 7735
)

// Instance is one instance of the system, a process of its own.
type Instance struct {
	Domain string

	city   *City
	number int
	addr   netip.Addr
	proxy  *proxy
	cmd    *exec.Cmd
	ended  chan struct{} // closed when the process has ended
	busy   sync.Mutex    // held by the series of faults that signals or starts the process

	inRotation bool
	misses     int
	unplanned  bool      // its last stop was a kill
	troubled   time.Time // end of the last trouble with it
}

// Name is the instance's name in its settings and logs.
func (i *Instance) Name() string { return fmt.Sprint("front-", i.Domain, "-", i.number) }

func (i *Instance) packets() netip.AddrPort {
	return netip.AddrPortFrom(i.addr, i.city.cfg.PacketPort)
}
func (i *Instance) health() netip.AddrPort { return netip.AddrPortFrom(i.addr, healthPort) }

// Rpc returns the address for calls of operators and peers.
func (i *Instance) Rpc() netip.AddrPort { return netip.AddrPortFrom(i.addr, internalPort) }

// LogFile is where the process writes its log.
func (i *Instance) LogFile() string { return filepath.Join(i.city.cfg.Dir, i.Name()+".log") }

func (i *Instance) settings() string {
	seeds := ""
	for n, s := range i.city.Instances[:min(3, len(i.city.Instances))] {
		if n > 0 {
			seeds += ", "
		}
		seeds += fmt.Sprintf("%q", s.addr.String()+":1")
	}
	return fmt.Sprintf(`{
	"name": %q, "domain": %q, "packets": %q, "health": %q,
	"internal_ports": [%d, %d], "metrics_port": %d, "seeds": [%s], "store": %q,
	"apply_within": "%s", "drain_within": "%s", "evacuate_within": "%s", "stop_grace": "6s", "hedging": {"max_share": %v},
}`, i.Name(), i.Domain, i.packets(), i.health(), internalPort, lastPort, metricsPort, seeds,
		i.proxy.l.Addr(), i.city.cfg.ApplyBound, i.city.cfg.DrainBound, i.city.cfg.DrainBound, i.city.cfg.HedgingShare)
}

// Start starts the process.
func (i *Instance) Start() error {
	path := filepath.Join(i.city.cfg.Dir, i.Name()+".json")
	if err := os.WriteFile(path, []byte(i.settings()), 0o600); err != nil {
		return trace.ConvertSystemError(err)
	}
	out, err := os.OpenFile(i.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer out.Close()
	i.cmd = exec.Command(i.city.cfg.Program, "--settings", path)
	i.cmd.Stdout, i.cmd.Stderr = out, out
	if err := i.cmd.Start(); err != nil {
		return trace.Wrap(err, "start of %s", i.Name())
	}
	i.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		// The exit code of a killed process says nothing.
		_ = cmd.Wait()
		close(ended)
	}(i.cmd, i.ended)
	i.trouble(0)
	if i.unplanned {
		i.city.impair(0)
		i.unplanned = false
	}
	return nil
}

// Signal sends a signal to the process.
func (i *Instance) Signal(s syscall.Signal) error {
	i.trouble(0)
	if s != syscall.SIGTERM && s != syscall.SIGHUP {
		i.city.impair(0)
		i.unplanned = s == syscall.SIGKILL
	}
	return i.cmd.Process.Signal(s)
}

// Stop sends a signal and waits for the end, which SIGKILL enforces after the
// grace.
func (i *Instance) Stop(s syscall.Signal) error {
	if err := i.Signal(s); err != nil {
		return trace.Wrap(err, "stop of %s", i.Name())
	}
	select {
	case <-i.ended:
	case <-time.After(6 * time.Second):
		i.city.violation("%s did not stop within its grace", i.Name())
		if err := i.cmd.Process.Kill(); err != nil {
			return trace.Wrap(err, "kill of %s", i.Name())
		}
		<-i.ended
	}
	i.trouble(0)
	return nil
}

// awaitPages waits until the process, which runs, answers on its health address.
func (i *Instance) awaitPages() error {
	for range 100 {
		conn, err := net.Dial("tcp4", i.health().String())
		if err == nil {
			return conn.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return trace.LimitExceeded("%s does not answer on %s 2 s after its start", i.Name(), i.health())
}

// restart stops the process gracefully and starts it again.
func (i *Instance) restart() error {
	if err := i.Stop(syscall.SIGTERM); err != nil {
		return err
	}
	return i.Start()
}

// freeze stops the process for a while, from which it goes on as it was.
func (i *Instance) freeze(lasts time.Duration) error {
	if err := i.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	i.trouble(lasts)
	time.Sleep(lasts)
	return i.Signal(syscall.SIGCONT)
}

// Proxy sets what becomes of its connections to the store.
func (i *Instance) Proxy(m ProxyMode) {
	i.trouble(0)
	i.city.impair(0)
	i.proxy.set(m)
}

// trouble notes that the instance is not in touch for a while.
func (i *Instance) trouble(lasts time.Duration) {
	i.city.mu.Lock()
	defer i.city.mu.Unlock()
	i.troubled = time.Now().Add(lasts)
	if lasts > 0 {
		i.city.impairLocked(lasts)
	}
}
