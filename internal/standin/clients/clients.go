// Package clients is a test double of the router's clients: it sends requests and reads answers in the users' protocol.
package clients

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Request is one client request.
type Request struct {
	ID, Class, Tenant, Key, DedupKey string
	Post                             bool
	Wait                             time.Duration // how long the client waits for the answer
}

// Answer is a complete answer to a Request.
type Answer struct {
	Status     int
	RetryAfter time.Duration
	Body       []byte
}

// ErrRefused reports that no connection could be established, so that no router has received the request.
var ErrRefused = errors.New("connection refused")

// Pool is an HTTP client that keeps connections to the routers for reuse.
type Pool struct{ http http.Client }

// New returns an empty pool.
func New() *Pool {
	return &Pool{http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 2 * time.Second,
		DisableCompression: true}}}
}

// Close closes the idle connections.
func (p *Pool) Close() { p.http.CloseIdleConnections() }

const maxAnswerBytes = 4 << 20

// Ready reports whether the router at addr answers its readiness check with 200.
func (p *Pool) Ready(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/-/ready", nil)
	if err != nil {
		return false
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Do sends the request to the router at addr and returns the complete answer. When ctx ends, the client closes its
// connection.
func (p *Pool) Do(ctx context.Context, addr string, r Request) (Answer, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if r.Post {
		method, body = http.MethodPost, strings.NewReader("notice "+r.ID)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/api", body)
	if err != nil {
		return Answer{}, fmt.Errorf("client: %w", err)
	}
	req.Host = "app.svc"
	set := func(name, v string) {
		if v != "" {
			req.Header.Set(name, v)
		}
	}
	set("X-Txn", r.ID)
	set("X-Lane", r.Class)
	set("X-Org", r.Tenant)
	set("X-Entity", r.Key)
	set("Idempotency-Key", r.DedupKey)
	set("X-Remaining-Ms", strconv.FormatInt(r.Wait.Milliseconds(), 10))
	resp, err := p.http.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &op) && op.Op == "dial" {
			err = ErrRefused
		}
		return Answer{}, fmt.Errorf("client: %w", err)
	}
	defer resp.Body.Close()
	answer := Answer{Status: resp.StatusCode}
	if answer.Body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
		return Answer{}, fmt.Errorf("client: %w", err)
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 3600 {
		answer.RetryAfter = time.Duration(s * float64(time.Second))
	}
	return answer, nil
}
