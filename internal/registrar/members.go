package registrar

import (
	"encoding/json"
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"merlinarch/internal/accord"
	"merlinarch/internal/decide/statemachine"
)

// Members asks for a change of the registrars, one at a time.
type MembershipChange struct {
	Cluster string `json:"cluster"`
	Name    string `json:"name"`
	Addr    string `json:"address,omitempty"` // empty: it is taken out
	ID      uint64 `json:"id,omitempty"`      // of the disk that it comes with
}

// memberChangeOf makes the change that the library agrees on. One that takes another's place under its name comes in the
// same step in which that one goes: between the two, no majority is ever counted with both.
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
		return nil, accord.NewProblem(accord.CodeGone, "no such registrar")
	case m.Addr == "" && len(n.state.Registrars) == 1:
		return nil, accord.NewProblem(accord.CodeWrong, "the last registrar can't go")
	case m.Addr == "":
		m.ID = current.ID
	case m.Name == "" || m.ID == 0 || isMember && m.ID == current.ID:
		return nil, accord.NewProblem(accord.CodeWrong, "expected a name, an address and the identity of a new disk")
	default:
		add(pb.ConfChangeAddNode, m.ID)
	}
	n.lastRef++
	text, err := json.Marshal(confChangeContext{Ref: fmt.Sprintf("%x-%d-%d", n.id.ID, n.id.Boots, n.lastRef), Name: m.Name, Addr: m.Addr, ID: m.ID})
	if err != nil {
		return nil, accord.NewProblem(accord.CodeWrong, err.Error())
	}
	confChange.Context = text
	return confChange, nil
}

// changeMembers puts a change of the registrars before them.
func (n *node) proposeMembershipChange(m membershipRequest) {
	switch {
	case !n.leading:
		m.reply(n.notLeader())
		return
	case !n.appliedOwnTerm:
		m.reply(accord.NewProblem(accord.CodeBusy, "the leader has just been chosen"))
		return
	}
	confChange, p := n.newConfChange(m.change)
	if p != nil {
		m.reply(p)
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

// carryOutChange takes an agreed change of the registrars in.
func (n *node) applyMembershipChange(e *pb.Entry) {
	var confChange pb.ConfChangeV2
	if e.GetType() != pb.EntryConfChangeV2 || proto.Unmarshal(e.Data, &confChange) != nil {
		n.inbox.put(failure{fmt.Errorf("entry %d of the log: a change of registrars that can't be read", e.GetIndex())})
		return
	}
	n.confState, n.confChanged = n.rawNode.ApplyConfChange(&confChange), true
	if len(confChange.Context) == 0 { // the library leaves a joint configuration
		return
	}
	var context confChangeContext
	if err := json.Unmarshal(confChange.Context, &context); err != nil {
		n.inbox.put(failure{fmt.Errorf("entry %d of the log: %w", e.GetIndex(), err)})
		return
	}
	n.state.ReplaceRegistrar(context.Name, statemachine.Registrar{ID: context.ID, Addr: context.Addr})
	n.peers.update(n.state.Registrars)
	n.publish()
	n.reply(context.Ref, statemachine.Result{})
}
