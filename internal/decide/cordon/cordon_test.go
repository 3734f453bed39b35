package cordon

import (
	"errors"
	"testing"
)

// fleet returns n servers of one group, named from "a".
func fleet(n int) []Server {
	var out []Server
	for i := range n {
		out = append(out, Server{Host: string(rune('a' + i)), Born: 7, Site: "x", Class: "m", Build: 1, Weight: 1})
	}
	return out
}

// cordonsOf returns cordons of hosts, by ID.
func cordonsOf(hosts ...string) map[string]Cordon {
	out := map[string]Cordon{}
	for _, h := range hosts {
		out[h] = Cordon{Target: Target{Host: h}}
	}
	return out
}

// A cordon is refused if too much of its group would be out of service, and never for a single server that can be replaced.
func TestBudget(t *testing.T) {
	b := Budget{Share: 0.25}
	otherBorn := int64(8)
	oneDraining := fleet(8)
	oneDraining[1].OutOfService = true
	elsewhere := append(fleet(8), Server{Host: "z", Site: "y", Class: "m", Build: 1, Weight: 1, OutOfService: true})
	heavy := fleet(8)
	heavy[1].Weight = 3
	cases := []struct {
		name     string
		target   Target
		existing map[string]Cordon
		listed   []Server
		want     error
	}{
		{"one of eight", Target{Host: "a"}, nil, fleet(8), nil},
		{"two of eight", Target{Host: "b"}, cordonsOf("a"), fleet(8), nil},
		{"three of eight", Target{Host: "c"}, cordonsOf("a", "b"), fleet(8), ErrOverBudget},
		{"draining servers count", Target{Host: "c"}, cordonsOf("a"), oneDraining, ErrOverBudget},
		{"another site's servers do not count", Target{Host: "b"}, cordonsOf("a"), elsewhere, nil},
		{"by weight", Target{Host: "b"}, cordonsOf("a"), heavy, ErrOverBudget},
		{"one of two, alone", Target{Host: "a"}, nil, fleet(2), nil},
		{"the last of its class", Target{Host: "a"}, nil, fleet(1), ErrLastServer},
		{"the last of its class in service", Target{Host: "a"}, cordonsOf("b"), fleet(2), ErrLastServer},
		{"not in any list", Target{Host: "q"}, nil, fleet(3), ErrUnknownServer},
		{"another incarnation", Target{Host: "a", Born: &otherBorn}, nil, fleet(3), ErrUnknownServer},
	}
	for _, c := range cases {
		if err := b.Check(c.target, c.existing, c.listed); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}

// A cordon covers one incarnation of a host if it names it, and all of them otherwise.
func TestCovers(t *testing.T) {
	seven := int64(7)
	if one := (Target{Host: "a", Born: &seven}); !one.Covers("a", 7) || one.Covers("a", 8) || one.Covers("b", 7) ||
		one.ID() == (Target{Host: "a"}).ID() {
		t.Error("wrong coverage by a cordon of one incarnation")
	}
	if name := (Target{Host: "a"}); !name.Covers("a", 7) || !name.Covers("a", 8) {
		t.Error("wrong coverage by a cordon of a host")
	}
}

// A dispatcher that is cut off from the network, and lists every server as out, doesn't use up the budget.
func TestMergeLists(t *testing.T) {
	cutOff := fleet(3)
	for i := range cutOff {
		cutOff[i].OutOfService = true
	}
	one := fleet(3)
	one[2].OutOfService = true
	got := MergeLists(map[string][]Server{"n0": fleet(3), "n1": cutOff, "n2": one})
	if len(got) != 3 || got[0].OutOfService || got[1].OutOfService || !got[2].OutOfService {
		t.Errorf("merged list %+v, want only the third server out of service", got)
	}
}

// A server is an outlier only if enough dispatchers agree on it, each with enough answers and with most servers healthy.
func TestOutliers(t *testing.T) {
	a := AutoPolicy{MinDispatchers: 2, MaxCordons: 1, ErrorShare: 0.5, MinAnswers: 10}
	oneFailing := []Evidence{{"a", 20, 15}, {"b", 20, 0}, {"c", 20, 1}}
	mostFailing := []Evidence{{"a", 20, 15}, {"b", 20, 20}, {"c", 20, 20}}
	tooFewAnswers := []Evidence{{"a", 9, 9}, {"b", 20, 0}, {"c", 20, 0}}
	for name, c := range map[string]struct {
		reports  map[string][]Evidence
		existing map[string]Cordon
		want     int
	}{
		"two agree":                  {map[string][]Evidence{"n0": oneFailing, "n1": oneFailing}, nil, 1},
		"only one":                   {map[string][]Evidence{"n0": oneFailing}, nil, 0},
		"one sees most servers fail": {map[string][]Evidence{"n0": oneFailing, "n1": mostFailing}, nil, 0},
		"one has too few answers":    {map[string][]Evidence{"n0": oneFailing, "n1": tooFewAnswers}, nil, 0},
		"cordoned already":           {map[string][]Evidence{"n0": oneFailing, "n1": oneFailing}, cordonsOf("a"), 0},
		"limit of automatic cordons": {map[string][]Evidence{"n0": oneFailing, "n1": oneFailing}, map[string]Cordon{"c": {Target: Target{Host: "c"}, Automatic: true}}, 0},
	} {
		if got := a.Outliers(c.reports, c.existing); len(got) != c.want {
			t.Errorf("%s: outliers %v", name, got)
		}
	}
	if got := (AutoPolicy{}).Outliers(map[string][]Evidence{"n0": oneFailing, "n1": oneFailing}, nil); got != nil {
		t.Errorf("switched off: outliers %v", got)
	}
}

// Accumulated evidence stays bounded, and disappears when nothing is added.
func TestAccumulateEvidence(t *testing.T) {
	all := []Evidence(nil)
	for range 500 {
		all = AccumulateEvidence(all, []Evidence{{"a", 2, 1}})
	}
	if len(all) != 1 || all[0].Answered < 100 || all[0].Answered > 130 || all[0].Errors < 50 {
		t.Errorf("evidence after 500 reports of two answers: %+v", all)
	}
	for range 500 {
		all = AccumulateEvidence(all, nil)
	}
	if len(all) != 0 {
		t.Errorf("evidence is kept forever: %+v", all)
	}
}
