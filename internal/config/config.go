// Package config reads what the router is told at start: the environment and the JSON file.
package config

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"strconv"

	"github.com/valyala/fastjson"

	"merlinarch/internal/settings"
	"merlinarch/logic"
)

// Names of the environment. The file's values hold where a variable is not set.
const (
	EnvFile      = "LB_CONFIG"
	envName      = "LB_NAME"
	envListen    = "LB_LISTEN"
	envDiscovery = "LB_DISCOVERY"
)

// Config is what the router is told at start.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	PeerListen, PeersAll    string
	Peers                   []string // by their numbers in the settings, this router's own included
	Platform                string   // empty: none
	InitialRelease          *fastjson.Value
	InitialHosts            *fastjson.Value // the list as last held, in discovery's form; nil: none
	Settings                logic.Settings
	Limits                  Limits

	path   string
	env    func(string) string
	file   addresses         // as the file names them, whatever the environment says
	others map[string]string // the file's other fields that hold for good, as text
}

// kept are the fields that hold from the start to the end; the rest is addresses, and the state at the start.
var kept = []string{"name", "listen", "seed", "limits", "peer_listen", "peers", "peers_all", "settings"}

// addresses are what a new configuration may change.
type addresses struct{ discovery, platform string }

// Load reads the file named by path, or by the environment if path is empty.
func Load(path string, env func(string) string) (Config, error) {
	if path == "" {
		path = env(EnvFile)
	}
	if path == "" {
		return Config{}, fmt.Errorf("configuration: %s is not set", EnvFile)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(data, env)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	c.path, c.env = path, env
	return c, nil
}

// Reload reads the file anew. Only discovery's and the platform's addresses may change, each if the file names
// another than it did; ignored tells which other fields differ. Danger: half a file, or one for another router,
// would cut this one off from both; a file that is wrong in any part changes nothing.
func (c Config) Reload() (next Config, ignored []string, err error) {
	read, err := Load(c.path, c.env)
	if err != nil {
		return c, nil, err
	}
	next = c
	next.file, next.others = read.file, read.others
	switch {
	case read.file.platform == "" && c.Platform != "" || read.file.platform != "" && c.Platform == "":
		return c, nil, fmt.Errorf("configuration %s: pipeline.address can't come or go", c.path)
	case read.file.discovery == "" && c.file.discovery != "":
		return c, nil, fmt.Errorf("configuration %s: discovery is missing", c.path)
	}
	if read.file.discovery != c.file.discovery { // else the environment's still holds
		next.Discovery = read.file.discovery
	}
	next.Platform = read.file.platform
	for _, name := range kept {
		if read.others[name] != c.others[name] {
			ignored = append(ignored, name)
		}
	}
	return next, ignored, nil
}

// Parse reads the text of the file; variables of the environment come before what it says.
func Parse(data []byte, env func(string) string) (Config, error) {
	v, err := fastjson.ParseBytes(data)
	if err != nil {
		return Config{}, fmt.Errorf("not JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return Config{}, fmt.Errorf("a JSON %s, not an object", v.Type())
	}
	text := func(name string, path ...string) string {
		if name != "" && env(name) != "" {
			return env(name)
		}
		return string(v.GetStringBytes(path...))
	}
	c := Config{Name: text(envName, "name"), Listen: text(envListen, "listen"),
		Discovery: text(envDiscovery, "discovery"), PeerListen: text("", "peer_listen"),
		PeersAll: text("", "peers_all"), Platform: text("", "pipeline", "address"),
		InitialRelease: v.Get("pipeline", "news"), InitialHosts: v.Get("known"), Seed: seed(text("", "seed"))}
	c.file = addresses{text("", "discovery"), c.Platform}
	c.others = map[string]string{}
	for _, name := range kept {
		if field := v.Get(name); field != nil {
			c.others[name] = string(field.MarshalTo(nil))
		}
	}
	for _, p := range v.GetArray("peers") {
		c.Peers = append(c.Peers, string(p.GetStringBytes()))
	}
	own := v.Get("settings")
	if own == nil || own.Type() != fastjson.TypeObject {
		return Config{}, errors.New("no object settings")
	}
	if c.Settings, err = settings.Decode(own); err != nil {
		return Config{}, err
	}
	if len(c.Settings.Classes) == 0 {
		return Config{}, errors.New("settings: no classes")
	}
	if err := c.checkAddresses(); err != nil {
		return Config{}, err
	}
	c.Limits, err = NewLimits(Resources{Cores: v.GetFloat64("limits", "cores"),
		MemoryMB: v.GetInt("limits", "memory_mb"), Sockets: v.GetInt("limits", "sockets"),
		DialTimeout: settings.DialTimeout(own)}, c.Settings)
	if c.Settings.MaxOpenRequests <= 0 || c.Settings.MaxOpenRequests > c.Limits.MaxOpen { // the module decides what is let go
		c.Settings.MaxOpenRequests = c.Limits.MaxOpen
	}
	return c, err
}

// checkAddresses finds addresses that can't be used.
func (c *Config) checkAddresses() error {
	check := func(what, addr string, required bool) error {
		if addr == "" && !required {
			return nil
		}
		host, port, err := net.SplitHostPort(addr)
		if err != nil {
			return fmt.Errorf("%s: address %q: %w", what, addr, err)
		}
		if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 || net.ParseIP(host) == nil {
			return fmt.Errorf("%s: %q is not an IP address and a port", what, addr)
		}
		return nil
	}
	errs := []error{check("listen ("+envListen+")", c.Listen, true),
		check("discovery ("+envDiscovery+")", c.Discovery, true), check("discovery", c.file.discovery, false),
		check("pipeline.address", c.Platform, false), check("peer_listen", c.PeerListen, false),
		check("peers_all", c.PeersAll, false)}
	for i, p := range c.Peers {
		errs = append(errs, check(fmt.Sprintf("peers[%d]", i), p, true))
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// seed reads a seed in hex; any other text is hashed.
func seed(text string) uint64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}
