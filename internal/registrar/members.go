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
func (n *node) memberChangeOf(m MembershipChange) (*pb.ConfChangeV2, *accord.Problem) {
	was, there := n.state.Registrars[m.Name]
	c := &pb.ConfChangeV2{}
	add := func(t pb.ConfChangeType, id uint64) {
		c.Changes = append(c.Changes, &pb.ConfChangeSingle{Type: t.Enum(), NodeId: proto.Uint64(id)})
	}
	if there {
		add(pb.ConfChangeRemoveNode, was.ID)
	}
	switch {
	case m.Addr == "" && !there:
		return nil, accord.NewProblem(accord.CodeNotFound, "no such registrar")
	case m.Addr == "" && len(n.state.Registrars) == 1:
		return nil, accord.NewProblem(accord.CodeInvalid, "the last registrar can't go")
	case m.Addr == "":
		m.ID = was.ID
	case m.Name == "" || m.ID == 0 || there && m.ID == was.ID:
		return nil, accord.NewProblem(accord.CodeInvalid, "expected a name, an address and the identity of a new disk")
	default:
		add(pb.ConfChangeAddNode, m.ID)
	}
	n.serial++
	text, err := json.Marshal(memberChange{Ref: fmt.Sprintf("%x-%d-%d", n.id.ID, n.id.Boots, n.serial), Name: m.Name, Addr: m.Addr, ID: m.ID})
	if err != nil {
		return nil, accord.NewProblem(accord.CodeInvalid, err.Error())
	}
	c.Context = text
	return c, nil
}

// changeMembers puts a change of the registrars before them.
func (n *node) changeMembers(m change) {
	switch {
	case !n.leading:
		m.reply(n.notLeader())
		return
	case !n.settled:
		m.reply(accord.NewProblem(accord.CodeBusy, "the leader has just been chosen"))
		return
	}
	c, p := n.memberChangeOf(m.members)
	if p != nil {
		m.reply(p)
		return
	}
	if err := n.rn.ProposeConfChange(c); err != nil {
		m.reply(accord.NewProblem(accord.CodeBusy, err.Error()))
		return
	}
	var told memberChange
	if json.Unmarshal(c.Context, &told) == nil {
		n.waiting[told.Ref] = m.reply
	}
}

// carryOutChange takes an agreed change of the registrars in.
func (n *node) carryOutChange(e *pb.Entry) {
	var c pb.ConfChangeV2
	if e.GetType() != pb.EntryConfChangeV2 || proto.Unmarshal(e.Data, &c) != nil {
		n.inbox.put(failure{fmt.Errorf("entry %d of the log: a change of registrars that can't be read", e.GetIndex())})
		return
	}
	n.conf, n.confChanged = n.rn.ApplyConfChange(&c), true
	if len(c.Context) == 0 { // the library leaves a joint configuration
		return
	}
	var told memberChange
	if err := json.Unmarshal(c.Context, &told); err != nil {
		n.inbox.put(failure{fmt.Errorf("entry %d of the log: %w", e.GetIndex(), err)})
		return
	}
	n.state.ReplaceRegistrar(told.Name, statemachine.Registrar{ID: told.ID, Addr: told.Addr})
	n.peers.use(n.state.Registrars)
	n.show()
	n.answer(told.Ref, statemachine.Result{})
}
