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

// Names of this deployment in discovery's lists.
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
	buildIDLimit    = 1 << 16
	maxHostIDLength = 256
)

var hostStates = map[string]logic.ServerState{"up": logic.Ready, "draining": logic.Draining, "removed": logic.Gone}

// List is the whole list or the changes since an earlier one.
type List struct {
	Version uint64
	Full    bool
	Hosts   []gateway.Host
	Skipped int // entries that can't be used
}

// Decode reads a list. Entries without id, address or known state are skipped.
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
		return List{}, fmt.Errorf("list's version: %w", err)
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

// ServerID is a number for a host's id, the same at every router.
func ServerID(id string) logic.ServerID {
	h := fnv.New64a()
	h.Write([]byte(id))
	return logic.ServerID(h.Sum64())
}
