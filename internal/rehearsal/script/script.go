// Package script reads the scripts of rehearsals (simulations of a deployment): the fleet, the traffic, the releases, and
// a time line of troubles. A script is a Jsonnet file; docs/rehearsal.md describes every field. Fields that a script leaves
// out have the values of Default.
package script

import (
	"time"

	"merlinarch/internal/template"
	"merlinarch/internal/template/jsonnet"
)

// Span is a lowest and a highest duration, between which values are drawn uniformly. A constant is given as two equal
// values.
type Span []time.Duration

// Script is one rehearsal.
type Script struct {
	Name      string        `json:"name"`
	Seed      uint64        `json:"seed"`
	Length    time.Duration `json:"length"` // how long clients send requests; requests open then are played to their end
	Sites     []string      `json:"sites"`  // routers and hosts are placed at them in turn
	Routers   Routers       `json:"routers"`
	Hosts     Hosts         `json:"hosts"`
	Network   Network       `json:"network"`
	Discovery Discovery     `json:"discovery"`
	Classes   []Class       `json:"classes"`
	Tenants   []Tenant      `json:"tenants"`
	Clients   Clients       `json:"clients"`
	Launcher  Launcher      `json:"launcher"`
	Releases  []Release     `json:"releases"`
	Troubles  []Trouble     `json:"troubles"`
}

// Routers describes the router processes.
type Routers struct {
	Count       int           `json:"count"`
	Policy      string        `json:"policy"`    // module, random or least
	MemoryMB    int           `json:"memory_mb"` // with sockets, the limits in a router's configuration
	Sockets     int           `json:"sockets"`
	MaxAttempts int           `json:"max_attempts"`
	RetryAfter  time.Duration `json:"retry_after"` // longest Retry-After that clients follow
	Peers       bool          `json:"peers"`       // routers may send each other messages
	Cancel      bool          `json:"cancel"`      // routers may cancel requests at hosts
	CrossCost   float64       `json:"cross_cost"`  // cost of a request that crosses sites, 0 to 1
	OverShare   float64       `json:"over_share"`  // worth of a request beyond its tenant's share, 0 to 1
}

// Hosts describes the hosts, which are notice servers.
type Hosts struct {
	Count        int           `json:"count"`
	Cores        int           `json:"cores"`
	Speed        []float64     `json:"speed"`         // lowest and highest, drawn for each host; at 1, a second of work takes a second
	Slots        int           `json:"slots"`         // requests processed at a time, sharing the cores
	Queue        int           `json:"queue"`         // requests that may wait for a slot
	Connections  int           `json:"connections"`   // limit for all routers together
	Handshake    time.Duration `json:"handshake"`     // work that a new connection costs
	Stops        string        `json:"stops"`         // the requests that a cancel ends: nothing, waiting or running
	ColdFrom     float64       `json:"cold_from"`     // a host's speed at its start as a fraction of its full speed, over 0 to 1
	ColdTime     time.Duration `json:"cold_time"`     // from the start until full speed
	FallMultiple float64       `json:"fall_multiple"` // a cold host crashes if it is sent more than this multiple of its capacity
	FallTime     time.Duration `json:"fall_time"`     // over this time
	Boot         Span          `json:"boot"`          // from a host's start until it listens
	Errors       float64       `json:"errors"`        // fraction of any host's answers that are errors
	ReportAge    time.Duration `json:"report_age"`
	DrainGrace   time.Duration `json:"drain_grace"` // time after which a router that knows of a drain sends nothing new
	DrainTime    time.Duration `json:"drain_time"`  // how long a draining host accepts requests before it finishes the rest
}

// Discovery describes the delays of the list of hosts.
type Discovery struct {
	Change Span          `json:"change"` // delay until a router learns of a start or a drain
	Loss   Span          `json:"loss"`   // delay until a router learns of the end of a host; twice as long for a silent one
	Period time.Duration `json:"period"` // interval at which changes are pushed
}

// Network describes one-way delays and losses.
type Network struct {
	Same        Span          `json:"same"`   // between a router and a host in one site
	Cross       Span          `json:"cross"`  // between a router and a host in different sites
	Client      Span          `json:"client"` // between clients and routers
	Message     Span          `json:"message"`
	MessageLoss float64       `json:"message_loss"` // fraction of the messages between routers that are lost
	ConnIdle    time.Duration `json:"conn_idle"`    // an idle connection to a host is closed after so long
	DialTimeout time.Duration `json:"dial_timeout"`
	FrontNotice Span          `json:"front_notice"` // how long clients' requests still go to a dead router
}

// Class is one class of requests.
type Class struct {
	Name      string        `json:"name"`
	Share     float64       `json:"share"`
	Work      time.Duration `json:"work"` // mean
	CV        float64       `json:"cv"`   // standard deviation of the work as a fraction of the mean
	Aim       time.Duration `json:"aim"`
	Deadline  time.Duration `json:"deadline"`
	Worth     float64       `json:"worth"`
	LateWorth float64       `json:"late_worth"` // worth of an answer after the aim as a fraction of the worth, 0 to 1
	Repeat    string        `json:"repeat"`     // safe, keyed or unsafe
	Group     string        `json:"group"`      // all, zone or cell: the hosts that drop repeats of a keyed request
	Window    time.Duration `json:"window"`     // deduplication window: for how long they drop them
}

// Tenant is one customer.
type Tenant struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"` // its share of the requests, and its fair share of the service
}

// Clients describes the clients and their requests.
type Clients struct {
	Rate     float64       `json:"rate"` // new requests a second
	Wave     float64       `json:"wave"` // fraction by which the rate rises and falls
	Period   time.Duration `json:"period"`
	Keys     int           `json:"keys"`
	Zipf     float64       `json:"zipf"`     // exponent of the Zipf distribution of keys, over 1
	Retries  int           `json:"retries"`  // tries after the first
	Backoff  Span          `json:"backoff"`  // the first backoff and the longest
	Honour   float64       `json:"honour"`   // fraction of the tries that follow Retry-After
	Patience []float64     `json:"patience"` // lowest and highest fraction of the deadline after which a try is given up
}

// Launcher describes the release platform. Its waves are the stages of a release.
type Launcher struct {
	Share       []float64     `json:"share"` // by wave: share of the fleet's places
	Cap         []float64     `json:"cap"`   // by wave: cap on the share of a router's requests
	Window      time.Duration `json:"window"`
	Free        int           `json:"free"`
	PerClass    bool          `json:"per_class"`
	Closed      int           `json:"closed"` // waves below this one take safe requests only
	Bake        time.Duration `json:"bake"`
	VoteLife    time.Duration `json:"vote_life"`
	VotesPerSec float64       `json:"votes_per_s"`
	Call        Span          `json:"call"`
	CallTimeout time.Duration `json:"call_timeout"`
	ToldLate    Span          `json:"told_late"`
	Every       time.Duration `json:"every"`    // interval at which the state is announced again
	Disputed    float64       `json:"disputed"` // fraction of the wrong answers that clients report
}

// Release offers a new build.
type Release struct {
	At    time.Duration `json:"at"`
	Speed float64       `json:"speed"` // relative to the first build
	// Fault is empty, slow, errors, class, late, load, wrong or neighbours.
	Fault string        `json:"fault"`
	Size  float64       `json:"size"`  // slow, neighbours: factor on the work; else the fraction of answers affected
	Class string        `json:"class"` // class: the class affected
	From  time.Duration `json:"from"`  // late: time after the host's start from which it fails
	Busy  float64       `json:"busy"`  // load: fraction of the slots in use beyond which it fails, 0 to 1
}

// Trouble is a failure or disturbance at a time of the script.
type Trouble struct {
	Kind  string        `json:"kind"`
	At    time.Duration `json:"at"`
	For   time.Duration `json:"for"`
	Times int           `json:"times"` // number of occurrences
	Every time.Duration `json:"every"` // time from the start of one occurrence to the next
	// What it affects: a share of the hosts or routers (1 if left out), at a site, of a build (counted from 0, the first).
	Share  float64       `json:"share"`
	Site   string        `json:"site"`
	Build  *int          `json:"build"`
	Class  string        `json:"class"`
	Tenant string        `json:"tenant"`
	Size   float64       `json:"size"` // magnitude: see troubleKinds
	Each   time.Duration `json:"each"` // pause: the length of each pause
}

// troubleKinds holds for each kind of trouble whether it has a size, the size's range, and its description.
var troubleKinds = map[string]struct {
	size        bool
	least, most float64
	what        string
}{
	"pause":            {what: "hosts are paused"},
	"slow":             {size: true, least: 0.01, most: 1, what: "hosts run at this fraction of their speed"},
	"crash":            {what: "hosts crash and come back cold"},
	"silent":           {what: "hosts stop answering, without closing connections, and come back cold"},
	"drain":            {what: "hosts are drained and come back cold"},
	"stall":            {what: "hosts accept requests, process none, and report as if healthy"},
	"fail":             {size: true, least: 0, most: 1, what: "hosts answer this fraction of requests with errors, whatever build they run"},
	"shared":           {size: true, least: 0.01, most: 1, what: "another program leaves hosts this fraction of their speed"},
	"launcher_silent":  {what: "no announcements and no answers to votes, though half of the votes count"},
	"launcher_late":    {size: true, least: 0, most: 60, what: "announcements come this many seconds later"},
	"discovery_silent": {what: "no changes of the list are sent"},
	"router_kill":      {what: "routers are killed and restarted"},
	"router_stall":     {what: "routers are paused"},
	"burst":            {size: true, least: 0, most: 100, what: "this factor on the requests, of a class or tenant if one is given"},
	"hot_key":          {size: true, least: 0, most: 1, what: "one key gets this fraction of the requests"},
	"site_cut":         {what: "a site's network to the others is cut"},
	"site_loss":        {what: "a site's hosts and routers crash, hosts come back cold"},
	"link_slow":        {size: true, least: 0, most: 60, what: "each way between routers and hosts takes this many seconds longer"},
	"link_loss":        {size: true, least: 0, most: 1, what: "this fraction of the attempts is reset"},
}

// Default returns the deployment that scripts start from: three routers and fifteen hosts at three sites, half busy.
func Default() Script {
	const ms = time.Millisecond
	return Script{Name: "unnamed", Seed: 1, Length: time.Minute, Sites: []string{"san-jose", "heredia", "cartago"},
		Routers: Routers{Count: 3, Policy: "module", MemoryMB: 192, Sockets: 1024, MaxAttempts: 6,
			RetryAfter: 500 * ms, Peers: true, Cancel: true, CrossCost: 0.12, OverShare: 0.2},
		Hosts: Hosts{Count: 15, Cores: 1, Speed: []float64{0.65, 1.1}, Slots: 8, Queue: 24, Connections: 500,
			Handshake: ms, Stops: "waiting", ColdFrom: 0.35, ColdTime: 4 * time.Second, FallMultiple: 2,
			FallTime: 1500 * ms, Boot: Span{1000 * ms, 2200 * ms}, Errors: 0.0002, ReportAge: 500 * ms,
			DrainGrace: time.Second, DrainTime: 2 * time.Second},
		Network: Network{Same: Span{ms / 10, 3 * ms / 10}, Cross: Span{4 * ms / 10, 8 * ms / 10},
			Client: Span{2 * ms / 10, ms}, Message: Span{ms, 12 * ms}, MessageLoss: 0.01,
			ConnIdle: 30 * time.Second, DialTimeout: 250 * ms, FrontNotice: Span{1200 * ms, 3700 * ms}},
		Discovery: Discovery{Change: Span{200 * ms, 900 * ms}, Loss: Span{450 * ms, 4600 * ms}, Period: 300 * ms},
		Classes: []Class{
			{Name: "read-board", Share: 0.63, Work: 30 * ms, CV: 0.8, Aim: 750 * ms, Deadline: 2500 * ms, Worth: 1,
				LateWorth: 0.2, Repeat: "safe"},
			{Name: "post-notice", Share: 0.37, Work: 30 * ms, CV: 0.8, Aim: 750 * ms, Deadline: 2000 * ms, Worth: 5,
				Repeat: "keyed", Group: "zone", Window: 8 * time.Second}},
		Tenants: []Tenant{{"desamparados", 0.39}, {"alajuela-centro", 0.23}, {"tibas", 0.19}, {"santa-ana", 0.19}},
		Clients: Clients{Rate: 220, Wave: 0.1, Period: 20 * time.Second, Keys: 3000, Zipf: 1.1, Retries: 3,
			Backoff: Span{75 * ms, 600 * ms}, Honour: 0.6, Patience: []float64{0.4, 1}},
		Launcher: Launcher{Share: []float64{0.03, 0.12, 0.4, 1}, Cap: []float64{0.036, 0.14, 0.48, 1},
			Window: 4 * time.Second, Free: 3, Closed: 1, Bake: 3 * time.Second, VoteLife: 4 * time.Second,
			VotesPerSec: 50, Call: Span{37 * ms, 180 * ms}, CallTimeout: 800 * ms, ToldLate: Span{110 * ms, 610 * ms},
			Every: 6 * time.Second},
	}
}

// Load reads a script from a file. The overrides replace values by path before the script is decoded.
func Load(path string, overrides map[string]any) (Script, error) {
	object, err := jsonnet.Load(path)
	if err != nil {
		return Script{}, err
	}
	return decode(path, object, overrides)
}

// Parse reads a script from its text; name stands for the file in errors.
func Parse(name, text string) (Script, error) {
	object, err := jsonnet.Parse(name, text)
	if err != nil {
		return Script{}, err
	}
	return decode(name, object, nil)
}

// decode applies the overrides to a script's object, decodes it over the defaults and checks it.
func decode(name string, object map[string]any, overrides map[string]any) (Script, error) {
	for path, v := range overrides {
		if err := setPath(object, path, v); err != nil {
			return Script{}, &template.Error{File: name, Path: path, Text: err.Error()}
		}
	}
	s := Default()
	// The script's lists replace those of the default: the decoder would merge the entries into the default's entries.
	for field, clearDefault := range map[string]func(){"classes": func() { s.Classes = nil }, "tenants": func() { s.Tenants = nil },
		"sites": func() { s.Sites = nil }} {
		if object[field] != nil {
			clearDefault()
		}
	}
	if err := template.Decode(name, object, &s); err != nil {
		return s, err
	}
	return s, s.check(name)
}
