// Package scenario runs test scripts against real processes: stand-ins and
// instances on loopback, which the scripts start, stop, freeze, cut off and
// load.
package scenario

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/testkit/layout"
	"egrettack.example/testkit/operate"
	"egrettack.example/testkit/world"
)

// Config of a set of scenarios.
type Config struct {
	Bin  string // directory of the built binaries
	Tree string // directory of the settings tree
	Keep string // directory that gets the work directories of failed scripts, "" for none
	Seed uint64
}

// process is one started process. done is closed when it has ended.
type process struct {
	cmd    *exec.Cmd
	log    *os.File
	done   chan struct{}
	frozen bool
}

// run is the state of one script.
type run struct {
	cfg   Config
	dir   string
	world *world.World

	mu        sync.Mutex
	processes map[string]*process
	calls     map[string]*call
	networks  byte // of callers, so far
	// marks are the connections that hosts had got when they were marked.
	marks map[string]uint64
}

func newRun(cfg Config, dir string) *run {
	return &run{cfg: cfg, dir: dir, processes: make(map[string]*process), calls: make(map[string]*call), marks: make(map[string]uint64)}
}

func (r *run) kit() string       { return filepath.Join(r.cfg.Bin, "egrettack-testkit") }
func (r *run) worldPath() string { return filepath.Join(r.dir, layout.WorldFile) }

func (r *run) operator() operate.Operator { return operate.Operator{World: r.world} }

// spawn starts a process with its log in a file of the script's directory.
func (r *run) spawn(name, path string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, trace.Wrap(err, "open log of %s", name)
	}
	p := &process{cmd: exec.Command(path, args...), log: log, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		log.Close()
		return nil, trace.Wrap(err, "start %s", name)
	}
	go func() {
		// The exit status is read from ProcessState.
		_ = p.cmd.Wait()
		log.Close()
		close(p.done)
	}()
	return p, nil
}

// start starts a stand-in or an instance by name.
func (r *run) start(name string) error {
	if p := r.process(name); p != nil && p.running() {
		return trace.AlreadyExists("%s is running", name)
	}
	path, args := r.kit(), []string{name, "--world", r.worldPath()}
	seed := fmt.Sprint(r.cfg.Seed)
	switch name {
	case "platform":
		args = append(args, "--values", filepath.Join(r.dir, layout.ValuesFile))
	case "hosts":
	case "fabric", "link":
		args = append(args, "--seed", seed)
	default:
		i, err := r.world.Instance(name)
		if err != nil {
			return err
		}
		path, args = filepath.Join(r.cfg.Bin, "egrettack"), []string{"--settings", i.Settings}
	}
	p, err := r.spawn(name, path, args...)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.processes[name] = p
	r.mu.Unlock()
	return nil
}

func (r *run) process(name string) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes[name]
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (r *run) signal(name string, s syscall.Signal) error {
	p := r.process(name)
	if p == nil || !p.running() {
		return trace.NotFound("%s is not running", name)
	}
	if s == syscall.SIGSTOP || s == syscall.SIGCONT {
		r.mu.Lock()
		p.frozen = s == syscall.SIGSTOP
		r.mu.Unlock()
	}
	return trace.Wrap(p.cmd.Process.Signal(s), "signal %s", name)
}

// ended waits for a process and returns an error unless it ended with code 0.
func (r *run) ended(name string, limit time.Duration) error {
	p := r.process(name)
	if p == nil {
		return trace.NotFound("%s was not started", name)
	}
	select {
	case <-p.done:
	case <-time.After(limit):
		return trace.LimitExceeded("%s has not ended after %s", name, limit)
	}
	if !p.cmd.ProcessState.Success() {
		return trace.Errorf("%s ended with %s", name, p.cmd.ProcessState)
	}
	return nil
}

// live returns the instances that run and are not frozen.
func (r *run) live() []world.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []world.Instance
	for _, i := range r.world.Instances {
		if p := r.processes[i.Name]; p != nil && p.running() && !p.frozen {
			out = append(out, i)
		}
	}
	return out
}

// close ends exactly the processes of the script.
func (r *run) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.calls {
		_ = c.process.cmd.Process.Kill()
	}
	for _, p := range r.processes {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range r.processes {
		<-p.done
	}
}

// readyWait bounds the start of all instances of a world.
const readyWait = 20 * time.Second

func (r *run) ready(names ...string) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyWait)
	defer cancel()
	for _, n := range names {
		i, err := r.world.Instance(n)
		if err != nil {
			return err
		}
		if err := operate.Await(ctx, pageURL(i.HTTP, "readyz")); err != nil {
			return trace.Wrap(err, "instance %s is not ready", n)
		}
	}
	return nil
}

func pageURL(a netip.AddrPort, page string) string { return fmt.Sprintf("http://%s/%s", a, page) }
