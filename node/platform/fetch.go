package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/core/snapshot"
	"egrettack.example/settings/published"
)

// maxAnswer limits one answer. A full set at 420 instances and 3,500 hosts is
// about 1 MB.
const maxAnswer = 64 << 20

// fetch asks for what changed after a revision. Without earlier values it
// asks for everything and does not wait.
func (c *Client) fetch(ctx context.Context, after snapshot.Version, started bool) (published.Values, error) {
	var wait time.Duration
	if started {
		// The jitter keeps calls of instances that started together apart.
		wait = c.cfg.Wait - rand.N(c.cfg.Wait/10+1)
		if c.Snapshot() == nil {
			wait = min(wait, retryPeers)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	v, err := c.get(ctx, after, wait)
	if err != nil {
		return published.Values{}, trace.Wrap(err, "reading the tree after revision %d", after)
	}
	if v.After = after; !started {
		// With nothing in force, an answer to after=0 is everything there is.
		v.Full, v.After = true, 0
	}
	return v, nil
}

func (c *Client) get(ctx context.Context, after snapshot.Version, wait time.Duration) (v published.Values, err error) {
	query := url.Values{
		"after": {strconv.FormatUint(uint64(after), 10)},
		"wait":  {strconv.Itoa(int(math.Ceil(wait.Seconds())))},
	}
	// The transport repeats a request by itself when a kept connection breaks,
	// so calls are counted where they are written.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				c.calls.Add(1)
			}
		},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(c.cfg.URL, "/")+"/v1/tree?"+query.Encode(), nil)
	if err != nil {
		return v, err
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return v, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return v, fmt.Errorf("platform answered %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return v, err
	}
	if len(body) > maxAnswer {
		return v, fmt.Errorf("answer is over %d bytes", maxAnswer)
	}
	if err := json.Unmarshal(body, &v); err != nil {
		return v, fmt.Errorf("answer is not the JSON expected: %w", err)
	}
	return v, nil
}
