package registrar

import (
	"encoding/json"
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"merlinarch/internal/accord"
	"merlinarch/internal/decide/statemachine"
)

// MembershipChange asks to add, replace or remove one registrar.
type MembershipChange struct {
	Cluster string `json:"cluster"`
	Name    string `json:"name"`
	Addr    string `json:"address,omitempty"` // empty: the registrar is removed
	ID      uint64 `json:"id,omitempty"`      // identity of the new registrar's store
}

// newConfChange builds the Raft configuration change for a request. A registrar that replaces another one of its name
// is added in the same step that removes the old one, so that no majority ever counts both.
func (n *node) newConfChange(m MembershipChange) (*pb.ConfChangeV2, *accord.Problem) {
	current, isMember := n.state.Registrars[m.Name]
	confChange := &pb.ConfChangeV2{}
	add := func(t pb.ConfChangeType, id uint64) {
		confChange.Changes = append(confChange.Changes, &pb.ConfChangeSingle{Type: t.Enum(), NodeId: proto.Uint64(id)})
	}
	if isMember {
		add(pb.ConfChangeRemoveNode, current.ID)
	}
	switch {
	case m.Addr == "" && !isMember:
		return nil, accord.NewProblem(accord.CodeNotFound, "no such registrar")
	case m.Addr == "" && len(n.state.Registrars) == 1:
		return nil, accord.NewProblem(accord.CodeInvalid, "the last registrar can't be removed")
	case m.Addr == "":
		m.ID = current.ID
	case m.Name == "" || m.ID == 0 || isMember && m.ID == current.ID:
		return nil, accord.NewProblem(accord.CodeInvalid, "expected a name, an address and the identity of a new store")
	default:
		add(pb.ConfChangeAddNode, m.ID)
	}
	n.lastRef++
	context, err := json.Marshal(confChangeContext{Ref: fmt.Sprintf("%x-%d-%d", n.id.ID, n.id.Boots, n.lastRef), Name: m.Name, Addr: m.Addr, ID: m.ID})
	if err != nil {
		return nil, accord.NewProblem(accord.CodeInvalid, err.Error())
	}
	confChange.Context = context
	return confChange, nil
}

// proposeMembershipChange proposes a membership change to the Raft group.
func (n *node) proposeMembershipChange(m membershipRequest) {
	switch {
	case !n.leading:
		m.reply(n.notLeader())
		return
	case !n.appliedOwnTerm:
		m.reply(accord.NewProblem(accord.CodeBusy, "the leader has just been elected"))
		return
	}
	confChange, problem := n.newConfChange(m.change)
	if problem != nil {
		m.reply(problem)
		return
	}
	if err := n.rawNode.ProposeConfChange(confChange); err != nil {
		m.reply(accord.NewProblem(accord.CodeBusy, err.Error()))
		return
	}
	var context confChangeContext
	if json.Unmarshal(confChange.Context, &context) == nil {
		n.replies[context.Ref] = m.reply
	}
}

// applyMembershipChange applies a committed membership change.
func (n *node) applyMembershipChange(e *pb.Entry) {
	var confChange pb.ConfChangeV2
	if e.GetType() != pb.EntryConfChangeV2 || proto.Unmarshal(e.Data, &confChange) != nil {
		n.inbox.put(failure{fmt.Errorf("log entry %d: a membership change that can't be decoded", e.GetIndex())})
		return
	}
	n.confState, n.confChanged = n.rawNode.ApplyConfChange(&confChange), true
	if len(confChange.Context) == 0 { // the Raft library's own change, which leaves the joint configuration
		return
	}
	var context confChangeContext
	if err := json.Unmarshal(confChange.Context, &context); err != nil {
		n.inbox.put(failure{fmt.Errorf("log entry %d: %w", e.GetIndex(), err)})
		return
	}
	n.state.ReplaceRegistrar(context.Name, statemachine.Registrar{ID: context.ID, Addr: context.Addr})
	n.peers.update(n.state.Registrars)
	n.publish()
	n.reply(context.Ref, statemachine.Result{})
}
