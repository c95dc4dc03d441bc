package scenario

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/testkit/callers"
)

// call is one run of callers.
type call struct {
	process *process
	json    string
}

// call starts callers for the given time. Every load is one of
// callers.ParseLoad.
func (r *run) call(name, duration string, loads []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls[name] != nil {
		return trace.AlreadyExists("call %q has been made", name)
	}
	r.networks++
	file := filepath.Join(r.dir, "call-"+name+".json")
	args := []string{
		"callers", "--world", r.worldPath(), "--name", name, "--duration", duration, "--json", file,
		"--network", fmt.Sprintf("10.64.%d.1", r.networks), "--seed", fmt.Sprint(r.cfg.Seed + uint64(r.networks)),
	}
	for _, l := range loads {
		args = append(args, "--load", l)
	}
	p, err := r.spawn("call-"+name, r.kit(), args...)
	if err != nil {
		return err
	}
	r.calls[name] = &call{process: p, json: file}
	return nil
}

// callWait bounds the end of a call. Requests wait for answers for 20 s at
// most unless a script says otherwise.
const callWait = 90 * time.Second

// summary waits for the end of a call and returns what its callers saw.
func (r *run) summary(name string) (*callers.Summary, error) {
	r.mu.Lock()
	c := r.calls[name]
	r.mu.Unlock()
	if c == nil {
		return nil, trace.NotFound("call %q was not made", name)
	}
	select {
	case <-c.process.done:
	case <-time.After(callWait):
		return nil, trace.LimitExceeded("call %q has not ended after %s", name, callWait)
	}
	b, err := os.ReadFile(c.json)
	if err != nil {
		return nil, trace.Wrap(err, "call %q has left no summary", name)
	}
	s := &callers.Summary{}
	return s, trace.Wrap(json.Unmarshal(b, s), "decode summary of %q", name)
}

var condition = regexp.MustCompile(`^(?:([a-z/]+):)?([a-z_]+)(=|<=|>=|<|>)(\d+)$`)

// check compares one value of a summary, for example "broken=0" or
// "prairie/intake/upload:answered>=10".
func check(s *callers.Summary, cond string) error {
	m := condition.FindStringSubmatch(cond)
	if m == nil {
		return trace.BadParameter("%q is not a condition", cond)
	}
	counts := s.Counts
	if m[1] != "" {
		k := s.Kinds[m[1]]
		if k == nil {
			return trace.NotFound("%q: no request of this kind was made", cond)
		}
		counts = k.Counts
	}
	got, ok := map[string]int{
		"requests": counts.Requests, "answered": counts.Answered, "refused": counts.Refused,
		"broken": counts.Broken, "doubled": counts.Doubled, "misrouted": counts.Misrouted,
		"lost": counts.Lost, "false_refusals": counts.FalseRefusals,
	}[m[2]]
	if !ok {
		return trace.BadParameter("%q: no such count", cond)
	}
	want, err := strconv.Atoi(m[4])
	if err != nil {
		return trace.Wrap(err, "condition %q", cond)
	}
	if !holds(got, m[3], want) {
		return trace.CompareFailed("%s is %d, want %s%d", m[2], got, m[3], want)
	}
	return nil
}

func holds(got int, op string, want int) bool {
	switch op {
	case "=":
		return got == want
	case "<":
		return got < want
	case ">":
		return got > want
	case "<=":
		return got <= want
	default:
		return got >= want
	}
}
