package rehearsal

import (
	"slices"
	"time"

	"merlinarch/internal/rehearsal/script"
)

// plan puts the script's troubles on the time line.
func (w *World) plan(lead time.Duration) {
	w.timeWindowsFrom(lead)
	for _, t := range w.s.Troubles {
		for n := range t.Times {
			w.q.at(lead+t.At+time.Duration(n)*t.Every, func() {
				w.mark(t.Kind, w.q.now+t.For)
				w.strike(t)
			})
		}
	}
}

func (w *World) timeWindowsFrom(lead time.Duration) { w.q.at(lead, w.timeWindows) }

// hit draws the hosts that a trouble strikes.
func (w *World) hit(t script.Trouble) []*Host {
	list := slices.DeleteFunc(w.hostsInOrder(), func(h *Host) bool {
		return t.Site != "" && h.Site != t.Site || t.Build != nil && h.Build != *t.Build
	})
	return some(w, list, t.Share)
}

// some draws a share of a list, at least one; the order of the rest stays.
func some[T any](w *World, list []T, share float64) []T {
	if share >= 1 || len(list) == 0 {
		return list
	}
	n := max(1, int(share*float64(len(list))+0.5))
	picked := w.draws.Perm(len(list))[:n]
	slices.Sort(picked)
	out := make([]T, 0, n)
	for _, i := range picked {
		out = append(out, list[i])
	}
	return out
}

func (w *World) hitRouters(t script.Trouble) []int {
	var list []int
	for i, r := range w.routers {
		if t.Site == "" || r.site == t.Site {
			list = append(list, i)
		}
	}
	return some(w, list, t.Share)
}

// change alters how fast hosts work, for a while.
func (w *World) change(hosts []*Host, length time.Duration, begin, end func(*Host)) {
	set := func(h *Host, f func(*Host)) {
		if h.phase != ended {
			h.advance()
			f(h)
			h.look()
		}
	}
	for _, h := range hosts {
		set(h, begin)
		if end != nil {
			w.q.after(length, func() { set(h, end) })
		}
	}
}

// strike lets a trouble begin, and plans its end.
func (w *World) strike(t script.Trouble) {
	end := func(do func()) { w.q.after(t.For, do) }
	switch t.Kind {
	case "pause":
		each := t.Each
		if each == 0 {
			each = t.For
		}
		for _, h := range w.hit(t) {
			w.pause(h, each, w.q.now+t.For)
		}
	case "slow", "shared":
		part := t.Size
		w.change(w.hit(t), t.For, func(h *Host) { h.slow *= part }, func(h *Host) { h.slow /= part })
	case "fail":
		for _, h := range w.hit(t) {
			p, was := h.place, h.place.fail
			p.fail = t.Size
			end(func() { p.fail = was })
		}
	case "stall":
		w.change(w.hit(t), t.For, func(h *Host) { h.stalled = true }, func(h *Host) { h.stalled = false })
	case "crash", "silent":
		for _, h := range w.hit(t) {
			w.crash(h, t.Kind == "silent", t.For)
		}
	case "drain":
		for _, h := range w.hit(t) {
			p := h.place
			w.drain(h)
			end(func() {
				if p.host == h && p.next == nil {
					w.down(h, false)
					p.host = nil
					w.launch(p, p.want, false)
				}
			})
		}
	case "launcher_silent":
		w.silent = true
		w.front.SilenceLauncher(true)
		end(func() { w.silent = false; w.front.SilenceLauncher(false); w.informAll() })
	case "launcher_late":
		late := time.Duration(t.Size * 1e9)
		w.newsLate += late
		end(func() { w.newsLate -= late })
	case "discovery_silent":
		w.listSilent = true
		end(func() { w.listSilent = false })
	case "router_kill":
		for _, i := range w.hitRouters(t) {
			w.restart(i, t.For)
		}
	case "router_stall":
		for _, i := range w.hitRouters(t) {
			if r := w.routers[i]; r.up {
				w.referee.views[i].froze = w.q.now + t.For
				w.front.Freeze(i, t.For)
			}
		}
	case "burst":
		b := boost{t.Size, slices.IndexFunc(w.s.Classes, func(c script.Class) bool { return c.Name == t.Class }),
			slices.IndexFunc(w.s.Tenants, func(x script.Tenant) bool { return x.Name == t.Tenant })}
		w.boosts = append(w.boosts, b)
		end(func() { w.boosts = slices.Delete(w.boosts, slices.Index(w.boosts, b), slices.Index(w.boosts, b)+1) })
	case "hot_key":
		w.hotKey += t.Size
		end(func() { w.hotKey -= t.Size })
	case "site_cut":
		w.cut[t.Site] = true
		end(func() { delete(w.cut, t.Site); w.informAll() })
	case "site_loss":
		for _, h := range w.hit(script.Trouble{Site: t.Site, Share: 1}) {
			w.crash(h, false, t.For)
		}
		for i, r := range w.routers {
			if r.site == t.Site {
				w.restart(i, t.For)
			}
		}
	case "link_slow":
		more := time.Duration(t.Size * 1e9)
		w.linkSlow += more
		end(func() { w.linkSlow -= more })
	case "link_loss":
		w.linkLoss += t.Size
		end(func() { w.linkLoss -= t.Size })
	}
}

// restart kills a router and boots it after a while.
func (w *World) restart(i int, away time.Duration) {
	if !w.routers[i].up {
		return
	}
	w.kill(i)
	w.q.after(away, func() {
		if !w.routers[i].up {
			w.boot(i)
		}
	})
}

// pause lets a host stand still, again and again with as long between, until a time.
func (w *World) pause(h *Host, each, until time.Duration) {
	if w.q.now >= until || h.phase == ended {
		return
	}
	w.change([]*Host{h}, 0, func(h *Host) { h.paused = max(h.paused, w.q.now+each) }, nil)
	w.q.after(2*each+time.Duration(w.draws.Float64()*float64(each)), func() { w.pause(h, each, until) })
}
