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

// Client asks whichever registrar leads.
type Client struct {
	addresses map[string]string
	names     []string
	current   int
	http      *http.Client
}

// NewClient makes a client of registrars, addresses by name.
func NewClient(addresses map[string]string) *Client {
	return &Client{addresses: addresses, names: slices.Sorted(maps.Keys(addresses)),
		http: &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}}
}

// Do asks until the leader has answered, or ctx ends. What is asked has to be safe to repeat.
func (c *Client) Do(ctx context.Context, path string, in, out any) error {
	if len(c.names) == 0 {
		return errors.New("no registrars")
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
		pause, _ := pacer.RecordFailure()
		if !sleep(ctx, pause) {
			return fmt.Errorf("%w (last: %w)", ctx.Err(), err)
		}
	}
}
