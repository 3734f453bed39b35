package discovery

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net"

	"github.com/valyala/fastjson"

	"merlinarch/internal/gateway"
	"merlinarch/logic"
)

// The path, query fields and JSON fields of discovery's API, and the limits on what a list may contain.
const (
	pathList        = "/api/targets"
	queryWatch      = "watch"
	queryAfter      = "from"
	fieldVersion    = "seq"
	fieldFull       = "whole"
	fieldList       = "hosts"
	fieldID         = "host"
	fieldAddr       = "dial"
	fieldZone       = "site"
	fieldCell       = "block"
	fieldClass      = "class"
	fieldState      = "health"
	fieldWeight     = "share"
	fieldStarted    = "born_ms"
	fieldBuild      = "build"
	buildIDLimit    = 1 << 16 // all build IDs are below it
	maxHostIDLength = 256     // bytes
)

// hostStates maps discovery's health values to the states of a server.
var hostStates = map[string]logic.ServerState{"up": logic.Ready, "draining": logic.Draining, "removed": logic.Gone}

// List is either the full list of hosts or the changes since an earlier version.
type List struct {
	Version uint64
	Full    bool
	Hosts   []gateway.Host
	Skipped int // entries that were invalid
}

// Decode reads a list. It skips entries without a valid ID, address, state, build or weight; a removed host needs no
// address.
func Decode(v *fastjson.Value, clock gateway.Clock) (List, error) {
	if v == nil || v.Type() != fastjson.TypeObject {
		return List{}, errors.New("list is not an object")
	}
	version := v.Get(fieldVersion)
	if version == nil {
		return List{}, errors.New("list has no version")
	}
	n, err := version.Uint64()
	if err != nil {
		return List{}, fmt.Errorf("list version: %w", err)
	}
	entries := v.Get(fieldList)
	if entries == nil || entries.Type() != fastjson.TypeArray {
		return List{}, errors.New("list has no entries")
	}
	l := List{Version: n, Full: v.GetBool(fieldFull)}
	for _, e := range entries.GetArray() {
		if h, ok := decodeHost(e, clock); ok {
			l.Hosts = append(l.Hosts, h)
		} else {
			l.Skipped++
		}
	}
	return l, nil
}

// decodeHost reads one entry of a list and reports whether it is valid.
func decodeHost(e *fastjson.Value, clock gateway.Clock) (gateway.Host, bool) {
	id, addr := e.GetStringBytes(fieldID), string(e.GetStringBytes(fieldAddr))
	state, known := hostStates[string(e.GetStringBytes(fieldState))]
	build, weight := e.GetInt(fieldBuild), 1.0
	if e.Exists(fieldWeight) {
		weight = e.GetFloat64(fieldWeight)
	}
	_, _, err := net.SplitHostPort(addr)
	if len(id) == 0 || len(id) > maxHostIDLength || !known || err != nil && state != logic.Gone ||
		build < 0 || build >= buildIDLimit || weight < 0 {
		return gateway.Host{}, false
	}
	return gateway.Host{Addr: addr, Name: string(id), MachineClass: string(e.GetStringBytes(fieldClass)),
		StartedUnixMs: int64(e.GetFloat64(fieldStarted)), Server: logic.Server{ID: ServerID(string(id)),
			Zone: string(e.GetStringBytes(fieldZone)), Build: logic.BuildID(build), Cell: e.GetInt(fieldCell),
			State: state, Weight: weight, Started: clock.FromUnix(e.GetFloat64(fieldStarted))}}, true
}

// ServerID returns a number derived from a host's ID. It is the same on every router.
func ServerID(id string) logic.ServerID {
	h := fnv.New64a()
	h.Write([]byte(id))
	return logic.ServerID(h.Sum64())
}
