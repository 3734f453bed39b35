// Package config reads the configuration of a router: the environment and the JSON file that it names.
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

// Names of the environment variables. If one is not set, the file's value applies.
const (
	EnvFile      = "LB_CONFIG"
	envName      = "LB_NAME"
	envListen    = "LB_LISTEN"
	envDiscovery = "LB_DISCOVERY"
)

// Config is the configuration of a router.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	PeerListen, PeersAll    string
	Peers                   []string        // indexed by the routers' numbers in the settings, this router included
	Platform                string          // address of the release platform; empty: none
	InitialRelease          *fastjson.Value // last known state of the release, in the platform's format; nil: none
	InitialHosts            *fastjson.Value // last known list of hosts, in discovery's format; nil: none
	Settings                logic.Settings
	Limits                  Limits

	path          string
	env           func(string) string
	fileAddresses addresses         // as the file has them, regardless of the environment
	fixedFields   map[string]string // JSON text of the file's fields that a reload does not change
}

// fixedFieldNames are the fields whose values apply until the process ends. The other fields are the addresses, which Reload may
// change, and the state at the start.
var fixedFieldNames = []string{"name", "listen", "seed", "limits", "peer_listen", "peers", "peers_all", "settings"}

// addresses are what a reload may change.
type addresses struct{ discovery, platform string }

// Load reads the configuration file at path, or at the path that the environment names if path is empty.
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

// Reload reads the file again. Only the addresses of discovery and the platform may change, each only if the file now has
// a different one; ignored names the other fields that differ. A file that is invalid in any part changes nothing: half a
// file, or one for another router, could otherwise cut this router off from both.
func (c Config) Reload() (next Config, ignored []string, err error) {
	loaded, err := Load(c.path, c.env)
	if err != nil {
		return c, nil, err
	}
	next = c
	next.fileAddresses, next.fixedFields = loaded.fileAddresses, loaded.fixedFields
	switch {
	case loaded.fileAddresses.platform == "" && c.Platform != "" || loaded.fileAddresses.platform != "" && c.Platform == "":
		return c, nil, fmt.Errorf("configuration %s: pipeline.address cannot be added or removed by a reload", c.path)
	case loaded.fileAddresses.discovery == "" && c.fileAddresses.discovery != "":
		return c, nil, fmt.Errorf("configuration %s: discovery is missing", c.path)
	}
	if loaded.fileAddresses.discovery != c.fileAddresses.discovery { // otherwise the environment's address still applies
		next.Discovery = loaded.fileAddresses.discovery
	}
	next.Platform = loaded.fileAddresses.platform
	for _, name := range fixedFieldNames {
		if loaded.fixedFields[name] != c.fixedFields[name] {
			ignored = append(ignored, name)
		}
	}
	return next, ignored, nil
}

// Parse reads the text of a configuration file; environment variables take precedence over it.
func Parse(data []byte, env func(string) string) (Config, error) {
	v, err := fastjson.ParseBytes(data)
	if err != nil {
		return Config{}, fmt.Errorf("not JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return Config{}, fmt.Errorf("a JSON %s, not an object", v.Type())
	}
	stringField := func(variable string, path ...string) string {
		if variable != "" && env(variable) != "" {
			return env(variable)
		}
		return string(v.GetStringBytes(path...))
	}
	c := Config{Name: stringField(envName, "name"), Listen: stringField(envListen, "listen"),
		Discovery: stringField(envDiscovery, "discovery"), PeerListen: stringField("", "peer_listen"),
		PeersAll: stringField("", "peers_all"), Platform: stringField("", "pipeline", "address"),
		InitialRelease: v.Get("pipeline", "news"), InitialHosts: v.Get("known"), Seed: parseSeed(stringField("", "seed"))}
	c.fileAddresses = addresses{stringField("", "discovery"), c.Platform}
	c.fixedFields = map[string]string{}
	for _, name := range fixedFieldNames {
		if field := v.Get(name); field != nil {
			c.fixedFields[name] = string(field.MarshalTo(nil))
		}
	}
	for _, p := range v.GetArray("peers") {
		c.Peers = append(c.Peers, string(p.GetStringBytes()))
	}
	settingsValue := v.Get("settings")
	if settingsValue == nil || settingsValue.Type() != fastjson.TypeObject {
		return Config{}, errors.New("settings: missing, or not an object")
	}
	if c.Settings, err = settings.Decode(settingsValue); err != nil {
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
		DialTimeout: settings.DialTimeout(settingsValue)}, c.Settings)
	if c.Settings.MaxOpenRequests <= 0 || c.Settings.MaxOpenRequests > c.Limits.MaxOpen { // the module must shed load before the node has to refuse
		c.Settings.MaxOpenRequests = c.Limits.MaxOpen
	}
	return c, err
}

// checkAddresses returns an error for the first address that is missing or invalid.
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
		check("discovery ("+envDiscovery+")", c.Discovery, true), check("discovery", c.fileAddresses.discovery, false),
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

// parseSeed reads a seed in hexadecimal; any other text is hashed.
func parseSeed(text string) uint64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}
