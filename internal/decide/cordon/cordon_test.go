package cordon

import (
	"errors"
	"testing"
)

func fleet(n int) []Server {
	var out []Server
	for i := range n {
		out = append(out, Server{Host: string(rune('a' + i)), Born: 7, Site: "x", Class: "m", Build: 1, Weight: 1})
	}
	return out
}

func orders(hosts ...string) map[string]Cordon {
	out := map[string]Cordon{}
	for _, h := range hosts {
		out[h] = Cordon{Target: Target{Host: h}}
	}
	return out
}

func TestBudget(t *testing.T) {
	b := Budget{Share: 0.25}
	other := int64(8)
	drained := fleet(8)
	drained[1].OutOfService = true
	elsewhere := append(fleet(8), Server{Host: "z", Site: "y", Class: "m", Build: 1, Weight: 1, OutOfService: true})
	heavy := fleet(8)
	heavy[1].Weight = 3
	cases := []struct {
		name     string
		target   Target
		standing map[string]Cordon
		listed   []Server
		want     error
	}{
		{"one of eight", Target{Host: "a"}, nil, fleet(8), nil},
		{"two of eight", Target{Host: "b"}, orders("a"), fleet(8), nil},
		{"three of eight", Target{Host: "c"}, orders("a", "b"), fleet(8), ErrOverBudget},
		{"drains count", Target{Host: "c"}, orders("a"), drained, ErrOverBudget},
		{"another site's do not", Target{Host: "b"}, orders("a"), elsewhere, nil},
		{"by weight", Target{Host: "b"}, orders("a"), heavy, ErrOverBudget},
		{"one of two, alone", Target{Host: "a"}, nil, fleet(2), nil},
		{"the last", Target{Host: "a"}, nil, fleet(1), ErrLastServer},
		{"the last that is open", Target{Host: "a"}, orders("b"), fleet(2), ErrLastServer},
		{"nobody lists it", Target{Host: "q"}, nil, fleet(3), ErrUnknownServer},
		{"another life", Target{Host: "a", Born: &other}, nil, fleet(3), ErrUnknownServer},
	}
	for _, c := range cases {
		if err := b.Check(c.target, c.standing, c.listed); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}

func TestCovers(t *testing.T) {
	seven := int64(7)
	if life := (Target{Host: "a", Born: &seven}); !life.Covers("a", 7) || life.Covers("a", 8) || life.Covers("b", 7) || life.ID() == (Target{Host: "a"}).ID() {
		t.Error("a cordon of a life")
	}
	if name := (Target{Host: "a"}); !name.Covers("a", 7) || !name.Covers("a", 8) {
		t.Error("a cordon of a name")
	}
}

// A dispatcher that is cut off by itself does not use up the budget of all.
func TestPool(t *testing.T) {
	cut := fleet(3)
	for i := range cut {
		cut[i].OutOfService = true
	}
	one := fleet(3)
	one[2].OutOfService = true
	got := MergeLists(map[string][]Server{"n0": fleet(3), "n1": cut, "n2": one})
	if len(got) != 3 || got[0].OutOfService || got[1].OutOfService || !got[2].OutOfService {
		t.Errorf("%+v", got)
	}
}

func TestSuspects(t *testing.T) {
	a := AutoPolicy{MinDispatchers: 2, MaxCordons: 1, ErrorShare: 0.5, MinAnswers: 10}
	sick := []Evidence{{"a", 20, 15}, {"b", 20, 0}, {"c", 20, 1}}
	all := []Evidence{{"a", 20, 15}, {"b", 20, 20}, {"c", 20, 20}}
	few := []Evidence{{"a", 9, 9}, {"b", 20, 0}, {"c", 20, 0}}
	for name, c := range map[string]struct {
		reports  map[string][]Evidence
		standing map[string]Cordon
		want     int
	}{
		"two agree":                  {map[string][]Evidence{"n0": sick, "n1": sick}, nil, 1},
		"one alone":                  {map[string][]Evidence{"n0": sick}, nil, 0},
		"one sees all bad":           {map[string][]Evidence{"n0": sick, "n1": all}, nil, 0},
		"one has too few answers":    {map[string][]Evidence{"n0": sick, "n1": few}, nil, 0},
		"cordoned already":           {map[string][]Evidence{"n0": sick, "n1": sick}, orders("a"), 0},
		"as many as may be together": {map[string][]Evidence{"n0": sick, "n1": sick}, map[string]Cordon{"c": {Target: Target{Host: "c"}, Automatic: true}}, 0},
	} {
		if got := a.Outliers(c.reports, c.standing); len(got) != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	if got := (AutoPolicy{}).Outliers(map[string][]Evidence{"n0": sick, "n1": sick}, nil); got != nil {
		t.Errorf("off: %v", got)
	}
}

func TestFold(t *testing.T) {
	all := []Evidence(nil)
	for range 500 {
		all = AccumulateEvidence(all, []Evidence{{"a", 2, 1}})
	}
	if len(all) != 1 || all[0].Answered < 100 || all[0].Answered > 130 || all[0].Errors < 50 {
		t.Errorf("%+v", all)
	}
	for range 500 {
		all = AccumulateEvidence(all, nil)
	}
	if len(all) != 0 {
		t.Errorf("kept for ever: %+v", all)
	}
}
