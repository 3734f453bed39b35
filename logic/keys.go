package logic

import "maps"

// This file decides which builds may serve a key where keys may only move forward to newer builds
// (Rollout.ForwardOnly). Clients choose keys freely, so the number of keys that are kept is limited.

// minBuildFor returns the oldest build that may serve the request's key, or 0 for any. A build that was
// rolled back binds no key.
func (r *Router) minBuildFor(req *request) BuildID {
	if !r.settings.Rollout.ForwardOnly || !req.HasKey {
		return 0
	}
	oldest := r.keyBuilds[req.Key] * BuildID(oneIf(!r.rejectedBuilds[r.keyBuilds[req.Key]]))
	return max(oldest, r.keyFloor*BuildID(oneIf(!r.rejectedBuilds[r.keyFloor])))
}

// bindKey records that a build has answered the request's key. Builds up to keyFloor bind all keys already.
func (r *Router) bindKey(req *request, build BuildID) {
	if build <= r.keyFloor && !r.rejectedBuilds[r.keyFloor] {
		return
	}
	if bound, known := r.keyBuilds[req.Key]; known || len(r.keyBuilds) < maxTrackedKeys {
		r.keyBuilds[req.Key] = max(bound, build)
	}
}

// raiseKeyFloor binds all keys to the newest build once it may serve everything and no server of another
// build is listed: each key can only go there, so that none has to be kept for itself.
func (r *Router) raiseKeyFloor() {
	newest := r.release.Build
	if !r.settings.Rollout.ForwardOnly || !r.releaseKnown || newest <= r.keyFloor || len(r.serverList) == 0 {
		return
	}
	if r.release.Phase != Released && (r.release.Phase != OnTrial || r.release.Cap < 1) {
		return
	}
	for _, s := range r.serverList {
		if s.Build != newest {
			return
		}
	}
	r.keyFloor = newest
	maps.DeleteFunc(r.keyBuilds, func(_ uint64, b BuildID) bool { return b <= newest })
}

// countKeyUse counts a request for a key in a closed stage and returns how many there were. Beyond
// maxTrackedKeys, each further key counts as used once.
func (r *Router) countKeyUse(key uint64) int {
	uses := r.keyUses[key] + 1
	if uses > 1 || len(r.keyUses) < maxTrackedKeys {
		r.keyUses[key] = uses
	}
	return uses
}

// mayDrawKey reports whether a request whose key is not bound yet may be drawn for the build on trial, which
// would bind it. Keys in frequent use are not drawn in closed stages: once such a key is bound to the new
// build, its requests of classes other than Safe could not be served by any build. No key is drawn that could
// not be kept.
func (r *Router) mayDrawKey(req *request) bool {
	if _, known := r.keyBuilds[req.Key]; !known && len(r.keyBuilds) >= maxTrackedKeys {
		return false
	}
	_, stage := r.trialCap(r.trialBuild)
	return stage >= r.settings.Rollout.ClosedStages || r.countKeyUse(req.Key) <= maxClosedStageKeyUses
}
