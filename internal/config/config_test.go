package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"merlinarch/logic"
)

const validConfig = `{"name":"n3","listen":"127.0.0.4:8000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.4:7946",
 "peers":["127.3.0.1:7946","127.3.0.2:7946"],"peers_all":"127.3.255.1:7946",
 "pipeline":{"address":"127.2.0.2:6400","news":{"release":42}},"known":{"seq":41,"whole":true,"hosts":[]},
 "settings":{"me":1,"peers_total":2,"zone":"a","classes":[{"name":"c","repeat":"safe","deadline_ms":1670.0}],
  "caps":{"max_open":20000,"conn_idle_ms":30000.0,"dial_timeout_ms":250.0},"rules":{"drain_grace_ms":1000.0},
  "family_info":{"api_timeout_ms":800.0}}}`

func emptyEnv(string) string { return "" }

func TestParse(t *testing.T) {
	c, err := Parse([]byte(validConfig), emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.4:8000" || c.Discovery != "127.2.0.1:8500" || c.Seed != 0x8c1f30d27a5be964 ||
		len(c.Peers) != 2 || c.PeersAll == "" || c.Platform != "127.2.0.2:6400" || c.InitialRelease == nil || c.InitialHosts == nil ||
		c.Settings.Self != 1 || c.Settings.Classes[0].Repeatability != logic.Safe {
		t.Errorf("%+v", c)
	}
	l := c.Limits
	if l.DialTimeout != 250*time.Millisecond || l.VoteTimeout != 800*time.Millisecond || l.ServerIdleTimeout >= 30*time.Second ||
		l.SendGrace >= time.Second || l.DrainTimeout < 1670*time.Millisecond {
		t.Errorf("limits %+v", l)
	}
	// The decision module gets the limit of this node, not the one that the settings give for any router.
	if c.Settings.MaxOpenRequests != l.MaxOpen || l.MaxOpen >= l.MaxHeld || l.MaxHeld >= l.ClientConns {
		t.Errorf("the module may hold %d, the node %d on %d connections", c.Settings.MaxOpenRequests, l.MaxHeld, l.ClientConns)
	}
}

// A configuration may name several hundred peers. All of them are read, and an error names the peer that is invalid.
func TestManyPeers(t *testing.T) {
	peers := make([]string, 740)
	for i := range peers {
		peers[i] = fmt.Sprintf("%q", fmt.Sprintf("127.%d.%d.1:7946", 3+i/250, i%250))
	}
	with := func() string {
		return strings.Replace(validConfig, `"127.3.0.1:7946","127.3.0.2:7946"`, strings.Join(peers, ","), 1)
	}
	c, err := Parse([]byte(with()), emptyEnv)
	if err != nil || len(c.Peers) != 740 || c.Peers[739] != "127.5.239.1:7946" {
		t.Errorf("%d peers, %v", len(c.Peers), err)
	}
	peers[700] = `"nowhere"`
	if _, err := Parse([]byte(with()), emptyEnv); err == nil || !strings.Contains(err.Error(), "peers[700]") {
		t.Errorf("an invalid peer among 740: %v", err)
	}
}

func TestEnvironmentOverridesFile(t *testing.T) {
	env := map[string]string{"LB_NAME": "other", "LB_LISTEN": "127.0.0.9:1", "LB_DISCOVERY": "127.0.0.9:2"}
	c, err := Parse([]byte(validConfig), func(k string) string { return env[k] })
	if err != nil || c.Name != "other" || c.Listen != "127.0.0.9:1" || c.Discovery != "127.0.0.9:2" {
		t.Errorf("%+v %v", c, err)
	}
}

// For any limits, the descriptors that may be in use at a time stay within the sockets of the node, and the requests
// held at a time within its memory.
func TestDescriptorsFit(t *testing.T) {
	for _, sockets := range []int{40, 64, 100, 256, 1024, 4096} {
		for _, memory := range []int{24, 64, 192, 2048} {
			l, err := NewLimits(Resources{Cores: 0.5, MemoryMB: memory, Sockets: sockets}, logic.Settings{})
			if err != nil {
				t.Fatal(err)
			}
			if l.ClientConns+l.ServerConns+reservedDescriptors > sockets || l.ServerConns < 1 || l.ClientConns < l.MaxHeld ||
				l.MaxOpen < 1 || l.MaxHeld < l.MaxOpen || l.DialTimeout <= 0 || l.ServerIdleTimeout <= 0 || l.VoteTimeout <= 0 {
				t.Errorf("%d sockets, %d MB: %+v", sockets, memory, l)
			}
			if int64(l.MaxHeld*maxRequestMemory) > int64(memory)<<20 {
				t.Errorf("%d MB: %d requests of %d bytes", memory, l.MaxHeld, maxRequestMemory)
			}
		}
	}
}

func TestInvalidConfigurations(t *testing.T) {
	cases := []struct{ name, from, to, want string }{
		{"not JSON", validConfig, "{", "not JSON"},
		{"not an object", validConfig, "[]", "not an object"},
		{"no settings", `"settings"`, `"other"`, "settings"},
		{"no classes", `"classes"`, `"other"`, "classes"},
		{"unknown repeat", `"safe"`, `"odd"`, "repeat"},
		{"a class twice", `"classes":[`, `"classes":[{"name":"c","repeat":"unsafe","deadline_ms":5.0},`, `"c" comes twice`},
		{"a class without a name", `"name":"c"`, `"name":""`, "class 0: no name"},
		{"a class without a time", `,"deadline_ms":1670.0`, ``, "neither aim_ms nor deadline_ms"},
		{"a negative time", `"deadline_ms":1670.0`, `"deadline_ms":-1`, "class 0: deadline_ms: -1"},
		{"a text for a time", `"drain_grace_ms":1000.0`, `"drain_grace_ms":"1s"`, `rules.drain_grace_ms: "1s"`},
		{"an array for a number", `"max_open":20000`, `"max_open":[1]`, "caps.max_open"},
		{"a negative dial time", `"dial_timeout_ms":250.0`, `"dial_timeout_ms":-250`, "caps.dial_timeout_ms: -250"},
		{"a negative cap", `"api_timeout_ms":800.0`, `"exposure_caps":[0.1,-0.5]`, "family_info.exposure_caps[1]"},
		{"two negative caps", `"api_timeout_ms":800.0`, `"exposure_caps":[-0.1,-0.5]`, "family_info.exposure_caps[0]"},
		{"a text for a truth value", `"api_timeout_ms":800.0`, `"forward_only":"true"`, `family_info.forward_only: "true"`},
		{"a number for a truth value", `"max_open":20000`, `"cancel":1`, "caps.cancel: 1"},
		{"a number for a text", `"api_timeout_ms":800.0`, `"counts":1`, "family_info.counts: 1"},
		{"a text for a list", `"api_timeout_ms":800.0`, `"exposure_caps":"0.1"`, `family_info.exposure_caps: "0.1"`},
		{"an object for a list", `"classes":[`, `"classes":{},"others":[`, "classes: {}"},
		{"a list for an object", `"rules":{`, `"rules":[],"others":{`, "rules: []"},
		{"a truth value for a name", `"name":"c"`, `"name":true`, "class 0: name: true"},
		{"a number for a kind of repeat", `"safe"`, `1`, "class 0: repeat: 1"},
		{"a keyed class of no group", `"repeat":"safe"`, `"repeat":"keyed"`, "group"},
		{"no listen", `"listen"`, `"other"`, "LB_LISTEN"},
		{"impossible listen", `127.0.0.4:8000`, `127.0.0.4:99999`, "listen"},
		{"no discovery", `"discovery"`, `"other"`, "LB_DISCOVERY"},
		{"a name for an address", `127.2.0.1:8500`, `discovery:8500`, "discovery"},
		{"impossible platform", `127.2.0.2:6400`, `127.2.0.2`, "pipeline.address"},
		{"impossible peer", `127.3.0.2:7946`, `x`, "peers[1]"},
		{"no memory", `"memory_mb":192`, `"memory_mb":1`, "memory_mb 1"},
		{"no sockets", `"sockets":1024`, `"sockets":3`, "sockets 3"},
		{"no cores", `"cores":1.0`, `"cores":0`, "cores 0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validConfig, c.from, c.to, 1)), emptyEnv)
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want one line that names %q", err, c.want)
			}
		})
	}
}

// Settings that leave out values or have extreme ones are accepted, and give the documented defaults and usable limits.
func TestSparseAndExtremeSettings(t *testing.T) {
	const classes = `"classes":[{"name":"c","repeat":"safe","deadline_ms":1670.0}]`
	for name, settings := range map[string]string{
		"next to nothing": `{` + classes + `}`,
		"nulls":           `{"me":null,"peers_total":null,"caps":null,"rules":{"drain_grace_ms":null},` + classes + `}`,
		"zeros": `{"me":0,"peers_total":0,"caps":{"max_attempts":0,"max_open":0,"conn_idle_ms":0,"dial_timeout_ms":0},
			"rules":{"drain_grace_ms":0,"cold_ms":0,"fall_ms":0},` + classes + `}`,
		"very large": `{"me":1e300,"peers_total":1e300,"caps":{"max_open":1e300,"conn_idle_ms":1e300,"dial_timeout_ms":1e300,"max_retry_after_ms":1e300},
			"rules":{"drain_grace_ms":1e300,"cold_ms":1e18},"classes":[{"name":"c","repeat":"safe","aim_ms":1e300,"deadline_ms":1e300,"worth":1e300}]}`,
		"unknown":                  `{"never_heard_of":{"a":[1]},"caps":{"more":-1},` + classes + `}`,
		"a router beyond the last": `{"me":1,"peers_total":1,` + classes + `}`,
		"aim only":                 `{"classes":[{"name":"c","repeat":"safe","aim_ms":1670.0}]}`,
	} {
		at, end := strings.Index(validConfig, `"settings":`)+len(`"settings":`), len(validConfig)-1
		c, err := Parse([]byte(validConfig[:at]+settings+validConfig[end:]), emptyEnv)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		l, class := c.Limits, c.Settings.Classes[0]
		for what, d := range map[string]time.Duration{"dial": l.DialTimeout, "probe": l.ProbeTimeout, "idle": l.ServerIdleTimeout, "vote": l.VoteTimeout,
			"wait": l.MaxWait, "stall": l.WriteStallTimeout, "last": l.DrainTimeout, "kill": l.KillAfter, "aim": class.LatencyTarget, "deadline": class.Deadline} {
			if d <= 0 || d > 3*365*24*time.Hour {
				t.Errorf("%s: %s %v", name, what, d)
			}
		}
		if l.SendGrace < 0 || c.Settings.MaxOpenRequests <= 0 || c.Settings.RouterCount <= c.Settings.Self || c.Settings.RouterCount > 1<<21 || c.Settings.MaxOpenRequests > l.MaxOpen {
			t.Errorf("%s: %+v %+v", name, c.Settings, l)
		}
	}
}

// A process may be killed the longest deadline plus 0.7 s after SIGTERM, where a deadline of over 3 s counts as 3 s.
func TestKillAfterFollowsLongestDeadline(t *testing.T) {
	for deadline, want := range map[string]time.Duration{"500": 1200 * time.Millisecond, "1670.0": 2370 * time.Millisecond, "60000": 3700 * time.Millisecond} {
		c, err := Parse([]byte(strings.Replace(validConfig, "1670.0", deadline, 1)), emptyEnv)
		if err != nil || c.Limits.KillAfter != want {
			t.Errorf("deadline %s ms: %v %v, want %v", deadline, c.Limits.KillAfter, err, want)
		}
	}
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path, emptyEnv); err != nil {
		t.Error(err)
	}
	if _, err := Load("", func(k string) string { return map[string]string{EnvFile: path}[k] }); err != nil {
		t.Error(err)
	}
	if _, err := Load("", emptyEnv); err == nil || !strings.Contains(err.Error(), EnvFile) {
		t.Errorf("error %v", err)
	}
	if _, err := Load(path+".none", emptyEnv); err == nil {
		t.Error("a missing file is accepted")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Add([]byte(`{"settings":{"classes":[{"repeat":"safe"}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := Parse(data, emptyEnv); err == nil && (c.Listen == "" || c.Limits.MaxHeld < 1) {
			t.Errorf("accepted: %+v", c)
		}
	})
}

// For any memory, requests and answers together take at most a third of it, and at least four of the longest answers fit in.
func TestRequestMemory(t *testing.T) {
	for _, memory := range []int{24, 32, 64, 192, 2048} {
		l, err := NewLimits(Resources{Cores: 0.5, MemoryMB: memory, Sockets: 256}, logic.Settings{})
		if err != nil {
			t.Fatal(err)
		}
		if l.RequestMemory > memory*mebibyte/3 || l.MaxAnswer < 1<<20 || l.RequestMemory < 4*l.MaxAnswer {
			t.Errorf("%d MB: answers up to %d, %d together", memory, l.MaxAnswer, l.RequestMemory)
		}
	}
}

// A reload changes the two addresses only and names the other fields that differ. A file that is invalid in any part
// changes nothing.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(validConfig)
	env := map[string]string{"LB_DISCOVERY": "127.0.0.9:2"}
	c, err := Load(path, func(k string) string { return env[k] })
	if err != nil {
		t.Fatal(err)
	}
	if next, ignored, err := c.Reload(); err != nil || next.Discovery != "127.0.0.9:2" || len(ignored) > 0 {
		t.Errorf("the same file: %v %v %v", next.Discovery, ignored, err)
	}
	write(strings.Replace(validConfig, "127.2.0.2:6400", "127.2.0.3:6400", 1))
	next, _, err := c.Reload()
	if err != nil || next.Platform != "127.2.0.3:6400" || next.Discovery != "127.0.0.9:2" {
		t.Errorf("the platform moves: %v %v %v", next.Platform, next.Discovery, err)
	}
	write(strings.NewReplacer("127.2.0.1:8500", "127.2.0.4:8500", `"n3"`, `"n4"`, `"seq":41`, `"seq":50`).Replace(validConfig))
	next, ignored, err := next.Reload()
	if err != nil || next.Platform != "127.2.0.2:6400" || next.Discovery != "127.2.0.4:8500" || next.Name != "n3" ||
		len(ignored) != 1 || ignored[0] != "name" {
		t.Errorf("both move: %v %v %v %v", next.Platform, next.Discovery, ignored, err)
	}
	for name, text := range map[string]string{"empty": "", "cut off": validConfig[:len(validConfig)/2], "not JSON": "discovery=1", "an array": "[]",
		"an impossible address": strings.Replace(validConfig, "127.2.0.1:8500", "nowhere", 1),
		"an impossible port":    strings.Replace(validConfig, "127.2.0.2:6400", "127.2.0.2:99999", 1),
		"no platform":           strings.Replace(validConfig, `"address":"127.2.0.2:6400",`, "", 1),
		"no discovery":          strings.Replace(validConfig, `"discovery":"127.2.0.1:8500",`, "", 1),
		"no settings":           strings.Replace(validConfig, `"settings"`, `"other"`, 1)} {
		write(text)
		if got, _, err := next.Reload(); err == nil || got.Discovery != next.Discovery || got.Platform != next.Platform {
			t.Errorf("%s: %v, %v %v", name, err, got.Discovery, got.Platform)
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if _, _, err := next.Reload(); err == nil {
		t.Error("a missing file is accepted")
	}
}
