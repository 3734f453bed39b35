package accord

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"merlinarch/internal/decide/backoff"
)

// Client sends requests to the leader of the registrars. It is not safe for use by several goroutines.
type Client struct {
	addresses map[string]string // by name
	names     []string          // sorted
	current   int               // index into names of the registrar to ask
	http      *http.Client
}

// NewClient returns a client for registrars with the given addresses, by name.
func NewClient(addresses map[string]string) *Client {
	return &Client{addresses: addresses, names: slices.Sorted(maps.Keys(addresses)),
		http: &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}}
}

// Do repeats a request until the leader has answered it, or ctx ends. The request has to be idempotent.
func (c *Client) Do(ctx context.Context, path string, in, out any) error {
	if len(c.names) == 0 {
		return errors.New("no registrars are configured")
	}
	pacer := backoff.New(backoff.Policy{FirstPause: 50 * time.Millisecond, MaxPause: time.Second, Seed: uint64(time.Now().UnixNano())}, false)
	for {
		attemptCtx, stop := context.WithTimeout(ctx, 5*time.Second)
		err := Call(attemptCtx, c.http, c.addresses[c.names[c.current]], path, in, out)
		stop()
		var problem *Problem
		switch {
		case err == nil:
			return nil
		case errors.As(err, &problem) && problem.Code == CodeNotLeader && slices.Contains(c.names, problem.Leader):
			c.current = slices.Index(c.names, problem.Leader)
		case errors.As(err, &problem) && problem.Code != CodeBusy && problem.Code != CodeNotLeader:
			return err
		default:
			c.current = (c.current + 1) % len(c.names)
		}
		pause, _ := pacer.RecordFailure(0)
		if !sleep(ctx, pause) {
			return fmt.Errorf("%w (last error: %w)", ctx.Err(), err)
		}
	}
}
