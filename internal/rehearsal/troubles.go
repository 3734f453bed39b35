package rehearsal

import (
	"slices"
	"time"

	"merlinarch/internal/rehearsal/script"
)

// scheduleTroubles schedules the script's troubles, and the report's windows.
func (w *World) scheduleTroubles(lead time.Duration) {
	w.scheduleWindows(lead)
	for _, t := range w.script.Troubles {
		for n := range t.Times {
			w.queue.at(lead+t.At+time.Duration(n)*t.Every, func() {
				w.addMark(t.Kind, w.queue.now+t.For)
				w.startTrouble(t)
			})
		}
	}
}

// scheduleWindows schedules the first window to begin after lead.
func (w *World) scheduleWindows(lead time.Duration) { w.queue.at(lead, w.closeWindows) }

// drawHosts draws the hosts that a trouble affects.
func (w *World) drawHosts(t script.Trouble) []*Host {
	list := slices.DeleteFunc(w.hostsInOrder(), func(h *Host) bool {
		return t.Site != "" && h.Site != t.Site || t.Build != nil && h.Build != *t.Build
	})
	return drawShare(w, list, t.Share)
}

// drawShare draws a share of a list, at least one element, and keeps the order.
func drawShare[T any](w *World, list []T, share float64) []T {
	if share >= 1 || len(list) == 0 {
		return list
	}
	n := max(1, int(share*float64(len(list))+0.5))
	picked := w.rng.Perm(len(list))[:n]
	slices.Sort(picked)
	out := make([]T, 0, n)
	for _, i := range picked {
		out = append(out, list[i])
	}
	return out
}

// drawRouters draws the routers that a trouble affects.
func (w *World) drawRouters(t script.Trouble) []int {
	var list []int
	for i, r := range w.routers {
		if t.Site == "" || r.site == t.Site {
			list = append(list, i)
		}
	}
	return drawShare(w, list, t.Share)
}

// alterHosts calls begin for hosts now and end, if not nil, after length. Their work is brought up to date before each
// change of speed.
func (w *World) alterHosts(hosts []*Host, length time.Duration, begin, end func(*Host)) {
	set := func(h *Host, f func(*Host)) {
		if h.phase != ended {
			h.advance()
			f(h)
			h.scheduleCompletion()
		}
	}
	for _, h := range hosts {
		set(h, begin)
		if end != nil {
			w.queue.after(length, func() { set(h, end) })
		}
	}
}

// startTrouble starts a trouble and schedules its end.
func (w *World) startTrouble(t script.Trouble) {
	atEnd := func(do func()) { w.queue.after(t.For, do) }
	switch t.Kind {
	case "pause":
		each := t.Each
		if each == 0 {
			each = t.For
		}
		for _, h := range w.drawHosts(t) {
			w.pauseRepeatedly(h, each, w.queue.now+t.For)
		}
	case "slow", "shared":
		part := t.Size
		w.alterHosts(w.drawHosts(t), t.For, func(h *Host) { h.speedFactor *= part }, func(h *Host) { h.speedFactor /= part })
	case "fail":
		for _, h := range w.drawHosts(t) {
			p, was := h.place, h.place.errorRate
			p.errorRate = t.Size
			atEnd(func() { p.errorRate = was })
		}
	case "stall":
		w.alterHosts(w.drawHosts(t), t.For, func(h *Host) { h.stalled = true }, func(h *Host) { h.stalled = false })
	case "crash", "silent":
		for _, h := range w.drawHosts(t) {
			w.crash(h, t.Kind == "silent", t.For)
		}
	case "drain":
		for _, h := range w.drawHosts(t) {
			p := h.place
			w.drain(h)
			atEnd(func() {
				if p.host == h && p.successor == nil {
					w.stop(h, false)
					p.host = nil
					w.launch(p, p.wantedBuild, false)
				}
			})
		}
	case "launcher_silent":
		w.launcherSilent = true
		w.routerFleet.SilenceLauncher(true)
		atEnd(func() { w.launcherSilent = false; w.routerFleet.SilenceLauncher(false); w.announceRelease() })
	case "launcher_late":
		late := time.Duration(t.Size * 1e9)
		w.addedReleaseDelay += late
		atEnd(func() { w.addedReleaseDelay -= late })
	case "discovery_silent":
		w.discoverySilent = true
		atEnd(func() { w.discoverySilent = false })
	case "router_kill":
		for _, i := range w.drawRouters(t) {
			w.restartRouter(i, t.For)
		}
	case "router_stall":
		for _, i := range w.drawRouters(t) {
			if r := w.routers[i]; r.up {
				w.referee.views[i].stalledUntil = w.queue.now + t.For
				w.routerFleet.Freeze(i, t.For)
			}
		}
	case "burst":
		b := burst{t.Size, slices.IndexFunc(w.script.Classes, func(c script.Class) bool { return c.Name == t.Class }),
			slices.IndexFunc(w.script.Tenants, func(x script.Tenant) bool { return x.Name == t.Tenant })}
		w.bursts = append(w.bursts, b)
		atEnd(func() { w.bursts = slices.Delete(w.bursts, slices.Index(w.bursts, b), slices.Index(w.bursts, b)+1) })
	case "hot_key":
		w.hotKeyShare += t.Size
		atEnd(func() { w.hotKeyShare -= t.Size })
	case "site_cut":
		w.cutSites[t.Site] = true
		atEnd(func() { delete(w.cutSites, t.Site); w.announceRelease() })
	case "site_loss":
		for _, h := range w.drawHosts(script.Trouble{Site: t.Site, Share: 1}) {
			w.crash(h, false, t.For)
		}
		for i, r := range w.routers {
			if r.site == t.Site {
				w.restartRouter(i, t.For)
			}
		}
	case "link_slow":
		added := time.Duration(t.Size * 1e9)
		w.addedLinkDelay += added
		atEnd(func() { w.addedLinkDelay -= added })
	case "link_loss":
		w.linkLossRate += t.Size
		atEnd(func() { w.linkLossRate -= t.Size })
	}
}

// restartRouter kills a router and boots it after the time away.
func (w *World) restartRouter(i int, away time.Duration) {
	if !w.routers[i].up {
		return
	}
	w.kill(i)
	w.queue.after(away, func() {
		if !w.routers[i].up {
			w.boot(i)
		}
	})
}

// pauseRepeatedly pauses a host again and again until a time. It works for one to two times the length of a pause
// between them.
func (w *World) pauseRepeatedly(h *Host, each, until time.Duration) {
	if w.queue.now >= until || h.phase == ended {
		return
	}
	w.alterHosts([]*Host{h}, 0, func(h *Host) { h.pausedUntil = max(h.pausedUntil, w.queue.now+each) }, nil)
	w.queue.after(2*each+time.Duration(w.rng.Float64()*float64(each)), func() { w.pauseRepeatedly(h, each, until) })
}
