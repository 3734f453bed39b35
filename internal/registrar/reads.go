package registrar

import (
	"slices"
	"strconv"
	"time"

	"merlinarch/internal/accord"
	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/statemachine"
)

// queueRead queues a read until leadership is proved. A beat is recorded with the lease tracker here, before its lease
// is granted; otherwise a dispatcher could hold a lease that the tracker doesn't know.
func (n *node) queueRead(read *readRequest) {
	switch {
	case !n.leading:
		read.reply(n.notLeader())
		return
	case !n.appliedOwnTerm || len(n.queuedReads) >= maxQueuedReads:
		read.reply(accord.NewProblem(accord.CodeBusy, "the leader has just been elected or is overloaded"))
		return
	}
	if beat := read.beat; beat != nil {
		if m, ok := n.state.Members[beat.Name]; !ok || m.Incarnation != beat.Incarnation {
			read.reply(accord.NewProblem(accord.CodeStaleIncarnation, "this incarnation of the dispatcher is not registered"))
			return
		}
		_, held, _ := n.leases.LastBeat(beat.Name, beat.Incarnation)
		read.leaseLength = n.state.LeaseLength(n.opts.Terms, n.state.Members[beat.Name].Site, n.unixMs())
		n.leases.RecordBeat(read.receivedAt, beat.Name, beat.Incarnation, beat.HeldVersion, read.leaseLength)
		n.dueMayHaveChanged = n.dueMayHaveChanged || beat.HeldVersion > held
		if len(beat.Servers) > 0 {
			n.serverLists[beat.Name] = serverList{beat.ServersDigest, beat.Servers}
		}
		if beat.ServerEvidence != nil {
			n.hostEvidence[beat.Name] = cordon.AccumulateEvidence(n.hostEvidence[beat.Name], beat.ServerEvidence)
		}
		recordOffset(n, n.clockOffsets, beat.Name, beat.UnixMs)
		if len(beat.SiteEvidence) > 0 {
			n.siteEvidence[beat.Name] = siteReport{read.receivedAt, beat.SiteEvidence}
		}
		for _, e := range beat.Outcomes {
			n.propose(statemachine.Entry{Outcome: &e}, func(any) {})
		}
		n.repeatWindows[beat.Name], n.draining[beat.Name] = beat.RepeatWindows, beat.Draining
		if n.unknownKinds[beat.Name] = beat.UnknownKinds; len(beat.UnknownKinds) == 0 {
			delete(n.unknownKinds, beat.Name)
		}
		n.counters.GetOrCreateCounter("registrar_beats_total").Inc()
	}
	n.queuedReads = append(n.queuedReads, read)
}

// notLeader is the refusal that names the leader, or says that none is known.
func (n *node) notLeader() *accord.Problem {
	if n.leaderID == 0 {
		return accord.NewProblem(accord.CodeBusy, "this registrar knows of no leader")
	}
	p := accord.NewProblem(accord.CodeNotLeader, "another registrar leads")
	p.Leader = n.leaderName()
	return p
}

// startReadIndex starts a ReadIndex round, in which the other registrars confirm that this one still leads. One round
// serves all reads that are queued.
func (n *node) startReadIndex() {
	if len(n.queuedReads) == 0 || len(n.provingReads) > 0 || !n.leading || !n.appliedOwnTerm {
		return
	}
	n.readIndexID++
	n.provingReads, n.queuedReads, n.readIndexAt = n.queuedReads, nil, n.opts.Clock.Now()
	n.rawNode.ReadIndex([]byte(strconv.FormatUint(n.readIndexID, 10)))
}

// replyToProvenReads answers the reads whose ReadIndex round has ended, once the state is applied up to their read
// index.
func (n *node) replyToProvenReads() {
	n.provenReads = slices.DeleteFunc(n.provenReads, func(batch provenBatch) bool {
		if batch.index > n.appliedIndex {
			return false
		}
		for _, read := range batch.reads {
			if read.beat == nil {
				read.reply(n.status())
			} else {
				read.reply(n.grantLease(read.beat, read.leaseLength))
			}
		}
		return true
	})
}

// grantLease answers a beat with a lease on the newest version.
func (n *node) grantLease(beat *accord.Beat, length time.Duration) any {
	if m := n.state.Members[beat.Name]; m.Incarnation != beat.Incarnation {
		return accord.NewProblem(accord.CodeStaleIncarnation, "a newer incarnation of the dispatcher has replaced this one")
	}
	document := n.state.Ruleset.Document
	tasks := n.state.Tasks(beat.Name, beat.Incarnation)
	if n.clockInDoubt() {
		tasks = statemachine.Expired(tasks)
	}
	granted := accord.BeatResponse{Cluster: n.opts.Cluster, Leader: n.id.Name, Version: document.Head.Version, LeaseNs: int64(length), UnixMs: n.unixMs(),
		WantServers: beat.ServersDigest != "" && n.serverLists[beat.Name].digest != beat.ServersDigest, Tasks: tasks}
	if beat.HeldVersion != document.Head.Version {
		granted.Document = &document
	}
	return granted
}

// failReads refuses all reads that wait for a proof of leadership.
func (n *node) failReads(reason string) {
	all := append(n.provingReads, n.queuedReads...)
	for _, batch := range n.provenReads {
		all = append(all, batch.reads...)
	}
	n.provingReads, n.queuedReads, n.provenReads = nil, nil, nil
	n.readIndexID++ // so that a late answer to the old round proves nothing
	for _, read := range all {
		read.reply(accord.NewProblem(accord.CodeBusy, reason))
	}
}
