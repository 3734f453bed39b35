package config

import "fmt"

const (
	mebibyte = 1 << 20

	programBytes    = 12 * mebibyte // the program's own pages and those of the C library, which the Go runtime does not count
	baseBytes       = 3 * mebibyte  // the heap of a router at rest: the lists of hosts, the decision module, the runtime itself
	clientConnBytes = 17 << 10      // a connection from a client: stack, net/http's buffers, a small buffer of its own
	minRequestBytes = 4 * mebibyte  // so that answers of a megabyte can be passed on in the smallest deployment
)

// Memory is how the memory of a node is divided. Each part is a number of bytes. What Runtime leaves beyond the sum of the
// others is room for connections to servers, requests in progress and what the garbage collector has not freed yet.
type Memory struct {
	Limit       int // the deployment's limit
	Runtime     int // the soft limit of the Go runtime
	ClientConns int // connections from clients, with the buffers that each has in any case
	Requests    int // heads and bodies of requests and bodies of answers, beyond those buffers
}

// String describes the parts, in MiB.
func (m Memory) String() string {
	mib := func(bytes int) float64 { return float64(bytes) / mebibyte }
	return fmt.Sprintf("%.0f MiB, of these %.1f for the Go runtime: %.1f at rest, %.1f for connections from clients, %.1f for requests and answers",
		mib(m.Limit), mib(m.Runtime), mib(baseBytes), mib(m.ClientConns), mib(m.Requests))
}

// NewMemory divides the memory of a node. The runtime's limit is soft, so a tenth of large memories stays in reserve.
func NewMemory(megabytes int) Memory {
	limit := megabytes * mebibyte
	runtime := min(limit*7/10, limit-programBytes)
	return Memory{Limit: limit, Runtime: runtime, ClientConns: (runtime - baseBytes) * 35 / 100,
		Requests: min(max(minRequestBytes, (runtime-baseBytes)/4), limit/4)}
}
