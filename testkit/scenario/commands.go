package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/rogpeppe/go-internal/testscript"

	"egrettack.example/core/snapshot"
	"egrettack.example/testkit/control"
	"egrettack.example/testkit/link"
	"egrettack.example/testkit/operate"
	"egrettack.example/testkit/platform"
)

// command is one command of the scripts.
type command struct {
	usage    string
	min, max int // number of arguments, max -1 for any
	do       func(r *run, ts *testscript.TestScript, args []string) error
}

// Params returns the parameters of testscript for some scripts.
func Params(cfg Config, scripts []string) testscript.Params {
	cmds := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, c := range commands() {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if len(args) < c.min || (c.max >= 0 && len(args) > c.max) {
				ts.Fatalf("usage: %s %s", name, c.usage)
			}
			err := c.do(ts.Value(runKey{}).(*run), ts, args)
			switch {
			case err != nil && !neg:
				ts.Fatalf("%s: %s", name, err)
			case err == nil && neg:
				ts.Fatalf("%s succeeded unexpectedly", name)
			}
		}
	}
	return testscript.Params{
		Files: scripts, Cmds: cmds, RequireUniqueNames: true,
		Setup: func(e *testscript.Env) error {
			r := newRun(cfg, e.WorkDir)
			e.Values[runKey{}] = r
			e.Defer(func() { r.keepIfFailed(e.T()) })
			e.Defer(r.close)
			return nil
		},
	}
}

type runKey struct{}

func commands() map[string]command {
	return map[string]command{
		"boot":    {"[KEY=VALUE...]", 0, -1, func(r *run, _ *testscript.TestScript, a []string) error { return r.boot(a) }},
		"start":   {"NAME...", 1, -1, each((*run).start)},
		"ready":   {"INSTANCE...", 1, -1, func(r *run, _ *testscript.TestScript, a []string) error { return r.ready(a...) }},
		"leave":   {"NAME...", 1, -1, each(signal(syscall.SIGTERM))},
		"crash":   {"NAME...", 1, -1, each(signal(syscall.SIGKILL))},
		"freeze":  {"NAME...", 1, -1, each(signal(syscall.SIGSTOP))},
		"thaw":    {"NAME...", 1, -1, each(signal(syscall.SIGCONT))},
		"ended":   {"NAME LIMIT", 2, 2, ended},
		"running": {"NAME...", 1, -1, each((*run).isRunning)},
		"pause":   {"DURATION", 1, 1, pause},
		"cut":     {"DOMAIN DOMAIN|platform", 2, 2, cut(true)},
		"heal":    {"DOMAIN DOMAIN|platform", 2, 2, cut(false)},
		"links":   {"JSON", 1, 1, put("links")},
		"fabric":  {"JSON", 1, 1, put("fabric")},
		"fault":   {"JSON", 1, 1, put("platform")},
		"mode":    {"JSON", 1, 1, put("host")},
		"drain":   {"HOST...", 1, -1, each(hostState("draining"))},
		"add":     {"HOST...", 1, -1, each(hostState("ready"))},
		"remove":  {"HOST...", 1, -1, each(hostState("gone"))},
		"list":    {"INSTANCE live|leaving|gone", 2, 2, list},
		"publish": {"KEY FILE [KEY FILE...]", 2, -1, publish},
		"call":    {"NAME DURATION LOAD...", 3, -1, makeCall},
		"expect":  {"CALL [CONDITION...]", 1, -1, expect},
		"quiet":   {"HOST...", 1, -1, func(r *run, _ *testscript.TestScript, a []string) error { return r.quiet(a) }},
		"mark":    {"HOST...", 1, -1, func(r *run, _ *testscript.TestScript, a []string) error { return r.mark(a) }},
		"unused":  {"HOST...", 1, -1, func(r *run, _ *testscript.TestScript, a []string) error { return r.unused(a) }},
		"used":    {"HOST...", 1, -1, each((*run).used)},
		"inforce": {"", 0, 0, inForce},
		"holds":   {"REVISION [DURATION]", 1, 2, holdsRevision},
		"reaches": {"REVISION", 1, 1, reachesRevision},
		"clean":   {"", 0, 0, func(r *run, _ *testscript.TestScript, _ []string) error { return r.clean() }},
		"polls":   {"LIMIT", 1, 1, polls},
		"note":    {"VARIABLE", 1, 1, note},
		"role":    {"ROLE SERVICE DOMAIN VARIABLE", 4, 4, role},
		"garbage": {"INSTANCE...", 1, -1, each((*run).garbage)},
	}
}

func each(f func(*run, string) error) func(*run, *testscript.TestScript, []string) error {
	return func(r *run, _ *testscript.TestScript, args []string) error {
		for _, a := range args {
			if err := f(r, a); err != nil {
				return err
			}
		}
		return nil
	}
}

func signal(s syscall.Signal) func(*run, string) error {
	return func(r *run, name string) error { return r.signal(name, s) }
}

func (r *run) isRunning(name string) error {
	if p := r.process(name); p == nil || !p.running() {
		return trace.NotFound("%s is not running", name)
	}
	return nil
}

func ended(r *run, _ *testscript.TestScript, args []string) error {
	limit, err := time.ParseDuration(args[1])
	if err != nil {
		return trace.Wrap(err, "limit")
	}
	return r.ended(args[0], limit)
}

func pause(_ *run, _ *testscript.TestScript, args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

const actWait = 10 * time.Second

func act(f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), actWait)
	defer cancel()
	return f(ctx)
}

// healedDelayMS is the delay of one way between domains in the scenarios.
const healedDelayMS = 5

func cut(on bool) func(*run, *testscript.TestScript, []string) error {
	return func(r *run, _ *testscript.TestScript, a []string) error {
		states := []link.State{{From: a[0], To: a[1], Cut: on}}
		if a[1] != "platform" {
			states[0].DelayMS = healedDelayMS
			states = append(states, link.State{From: a[1], To: a[0], Cut: on, DelayMS: healedDelayMS})
		}
		return act(func(ctx context.Context) error {
			return control.Put(ctx, r.world.LinkURL+"/test/v1/links/all", states)
		})
	}
}

func put(target string) func(*run, *testscript.TestScript, []string) error {
	return func(r *run, _ *testscript.TestScript, a []string) error {
		return act(func(ctx context.Context) error {
			return operate.Set(ctx, r.world, target, json.RawMessage(a[0]))
		})
	}
}

func hostState(state string) func(*run, string) error {
	return func(r *run, name string) error {
		return act(func(ctx context.Context) error { return r.operator().HostState(ctx, name, state) })
	}
}

func list(r *run, _ *testscript.TestScript, a []string) error {
	return act(func(ctx context.Context) error { return r.operator().InstanceState(ctx, a[0], a[1]) })
}

func publish(r *run, ts *testscript.TestScript, a []string) error {
	c := platform.Change{Set: make(map[string]string)}
	for i := 0; i+1 < len(a); i += 2 {
		c.Set[a[i]] = ts.ReadFile(a[i+1])
	}
	return act(func(ctx context.Context) error { return r.operator().Publish(ctx, c) })
}

func makeCall(r *run, _ *testscript.TestScript, a []string) error { return r.call(a[0], a[1], a[2:]) }

// expect waits for a call. Without a condition nothing may be broken, doubled,
// misrouted, lost or falsely refused; doubled, misrouted and falsely refused
// requests are failures in any case.
func expect(r *run, ts *testscript.TestScript, a []string) error {
	s, err := r.summary(a[0])
	if err != nil {
		return err
	}
	ts.Logf("%s: %s false_refusals=%d", a[0], s, s.FalseRefusals)
	conditions := append([]string{"doubled=0", "misrouted=0", "false_refusals=0"}, a[1:]...)
	if len(a) == 1 {
		conditions = append(conditions, "broken=0", "lost=0", "answered>=1")
	}
	for _, c := range conditions {
		if err := check(s, c); err != nil {
			return trace.Errorf("call %s: %s: %v %v", a[0], err, shown(s.Failures), shown(s.Notes))
		}
	}
	return nil
}

// shown keeps the output of a failed script readable.
func shown[T any](list []T) []T { return list[:min(len(list), 5)] }

func inForce(r *run, ts *testscript.TestScript, _ []string) error {
	want, err := r.revision()
	if err != nil {
		return err
	}
	start := time.Now()
	err = eventually(inForceBound, func() error { return r.atLeast(want) })
	ts.Logf("revision %d in force after %s", want, time.Since(start).Round(time.Millisecond))
	return err
}

// holdsRevision checks that no live instance has an older revision in force,
// with a duration all that time.
func holdsRevision(r *run, _ *testscript.TestScript, a []string) error {
	want, err := strconv.ParseUint(a[0], 10, 64)
	if err != nil {
		return trace.Wrap(err, "revision")
	}
	var limit time.Duration
	if len(a) > 1 {
		if limit, err = time.ParseDuration(a[1]); err != nil {
			return trace.Wrap(err, "duration")
		}
	}
	for start := time.Now(); ; time.Sleep(pollStep) {
		if err := r.atLeast(snapshot.Version(want)); err != nil || time.Since(start) >= limit {
			return err
		}
	}
}

func reachesRevision(r *run, ts *testscript.TestScript, a []string) error {
	return eventually(inForceBound, func() error { return holdsRevision(r, ts, a) })
}

func polls(r *run, _ *testscript.TestScript, a []string) error {
	limit, err := strconv.ParseUint(a[0], 10, 64)
	if err != nil {
		return trace.Wrap(err, "limit")
	}
	return r.platformCalls(limit)
}

// note stores the platform's revision in a variable.
func note(r *run, ts *testscript.TestScript, a []string) error {
	v, err := r.revision()
	ts.Setenv(a[0], fmt.Sprint(v))
	return err
}

// role stores the name of the instance with a role in a variable.
func role(r *run, ts *testscript.TestScript, a []string) error {
	return eventually(inForceBound, func() error {
		i, err := r.role(a[0], a[1], a[2])
		ts.Setenv(a[3], i.Name)
		return err
	})
}

func (r *run) garbage(name string) error {
	p, err := r.spawn("garbage-"+name, r.kit(), "garbage", "--world", r.worldPath(), "--seed", fmt.Sprint(r.cfg.Seed), name)
	if err != nil {
		return err
	}
	<-p.done
	if !p.cmd.ProcessState.Success() {
		return trace.Errorf("garbage to %s ended with %s", name, p.cmd.ProcessState)
	}
	return nil
}
