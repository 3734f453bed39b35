package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/features"
	"merlinarch/internal/registrar"
)

// BenchmarkRequest measures a request on a kept-alive connection: through a bare net/http relay, and through the router
// alone, with a ledger, and with replicated rules. Compare results of one run only; those of different runs are not
// comparable.
func BenchmarkRequest(b *testing.B) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "notice") }))
	defer host.Close()
	addr := strings.TrimPrefix(host.URL, "http://")

	relayTransport := &http.Transport{MaxIdleConnsPerHost: 256}
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), r.Method, host.URL+r.RequestURI, nil)
		if err != nil {
			panic(err)
		}
		req.Header.Set("X-Txn", r.Header.Get("X-Txn"))
		resp, err := relayTransport.RoundTrip(req)
		if err != nil {
			http.Error(w, "host", http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			http.Error(w, "host", http.StatusBadGateway)
			return
		}
		w.Write(body)
	}))
	defer relay.Close()
	defer relayTransport.CloseIdleConnections()

	var router string
	stop := startRouter(b, addr, features.Default(), &router)
	runLoad(b, "relay", relay.URL)
	runLoad(b, "router", "http://"+router)
	stop()
	withLedger := features.Default()
	withLedger.Ledger.File = filepath.Join(b.TempDir(), "ledger")
	stop = startRouter(b, addr, withLedger, &router)
	runLoad(b, "ledger", "http://"+router)
	stop()
	withAccord, end := startRegistrar(b)
	defer end()
	stop = startRouter(b, addr, withAccord, &router)
	runLoad(b, "accord", "http://"+router)
	stop()
}

// startRegistrar runs the only registrar of a cluster in this process, with the default lease terms.
func startRegistrar(b *testing.B) (f features.Features, stop func()) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	f = features.Default()
	f.Accord.Cluster, f.Accord.Registrars = "bench", map[string]string{"r0": l.Addr().String()}
	l.Close()
	o := registrar.Options{Cluster: "bench", Name: "r0", Registrars: f.Accord.Registrars, Dir: b.TempDir(), Terms: f.Accord.LeaseTerms()}
	if err := registrar.Init(o); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- registrar.Run(ctx, o, zap.NewNop()) }()
	return f, func() {
		cancel()
		if err := <-done; err != nil {
			b.Error(err)
		}
	}
}

// startRouter runs a router in this process, with fifteen hosts at one address, and stores its address in listenAddr. The
// returned function stops it.
func startRouter(b *testing.B, addr string, f features.Features, listenAddr *string) (stop func()) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	listen := l.Addr().String()
	l.Close()
	// A connection is not reused for 2 ms after an answer; at these rates a single host would need new connections all the
	// time.
	var hosts []string
	for i := range 15 {
		hosts = append(hosts, fmt.Sprintf(`{"host":"s-%d","dial":%q,"site":"a","block":0,"health":"up","share":1.0,
			"born_ms":0,"build":42}`, i, addr))
	}
	c, err := config.Parse(fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1f",
		"limits":{"cores":4.0,"memory_mb":192,"sockets":1024},
		"pipeline":{"address":"127.0.0.1:1","news":{"release":42,"tranche":0,"mode":"released","exposure":1,"old_ms":0}},
		"known":{"seq":1,"whole":true,"hosts":[%s]},"settings":{"me":0,"peers_total":1,"zone":"a","classes":[{"name":"read","repeat":"safe",
		"aim_ms":5000.0,"deadline_ms":5000.0,"worth":1.0}],"caps":{"max_attempts":3,"conn_idle_ms":10000.0,
		"dial_timeout_ms":1000.0},"rules":{"drain_grace_ms":1000.0}}}`, listen, strings.Join(hosts, ",")), emptyEnv)
	if err != nil {
		b.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- serve(c, f, zap.NewNop()) }()
	for ready := false; !ready; time.Sleep(10 * time.Millisecond) {
		status, _, err := sendGet(listen, "/-/ready", "r")
		ready = err == nil && status == 200
	}
	*listenAddr = listen
	return func() {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
			b.Fatal(err)
		}
		if err := <-done; err != nil {
			b.Error(err)
		}
	}
}

// runLoad sends requests to a URL with 1, 16 and 128 concurrent clients.
func runLoad(b *testing.B, name, url string) {
	for _, clients := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("%s/clients=%d", name, clients), func(b *testing.B) {
			transport := &http.Transport{MaxIdleConnsPerHost: clients}
			defer transport.CloseIdleConnections()
			var work sync.WaitGroup
			var mu sync.Mutex
			sent := 0
			latencies := make([]time.Duration, b.N)
			b.ResetTimer()
			for range clients {
				work.Go(func() {
					for {
						mu.Lock()
						i := sent
						sent++
						mu.Unlock()
						if i >= b.N {
							return
						}
						req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url+"/api", nil)
						if err != nil {
							b.Error(err)
							return
						}
						req.Header.Set("X-Txn", fmt.Sprintf("%016x", i))
						req.Header.Set("X-Lane", "read")
						req.Header.Set("X-Remaining-Ms", "4000")
						began := time.Now()
						resp, err := transport.RoundTrip(req)
						if err != nil {
							b.Error(err)
							return
						}
						io.Copy(io.Discard, resp.Body)
						resp.Body.Close()
						latencies[i] = time.Since(began)
						if resp.StatusCode != 200 {
							b.Errorf("status %d", resp.StatusCode)
							return
						}
					}
				})
			}
			work.Wait()
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
		})
	}
}
