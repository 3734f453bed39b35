package logic

import (
	"encoding/binary"
	"errors"
)

// Arm counts first attempts at one build: all of them, those not served within the latency target, those answered
// with an error, those measured against a slow threshold from before the trial, those slower than it, and those whose
// answer a client found wrong.
type Arm struct{ Attempts, Missed, Errors, Measured, Slow, Wrong uint32 }

// Counts holds the control arm (the old build) and the treatment arm (the new build) of a trial.
type Counts struct{ Old, New Arm }

// Report holds one router's cumulative counts for one stage of one build, and for all of its stages so far. The
// incarnation distinguishes the counts of a restarted router from those before the restart.
type Report struct {
	Incarnation     uint32
	Build           BuildID
	Stage           int
	StageCounts     Counts
	BuildCounts     Counts
	Demand          uint16 // new requests now, in hundredths per second
	UsualDemand     uint16 // the same before the trial; 0: not known
	BaselineAnswers uint32 // answers before the trial from which slow thresholds were computed
}

// peerKey identifies one incarnation of a peer.
type peerKey struct {
	peer        int
	incarnation uint32
}

// InFlightReport lists the servers at which a router has attempts in flight, and those where attempts have failed.
type InFlightReport []BusyServer

// BusyServer is an entry of an InFlightReport. Server is a short ID.
type BusyServer struct {
	Server        uint16
	InFlight      int
	Failed        bool // an attempt there has failed since the last such message
	AnsweredError bool // one of them with an error
}

// shortID returns a server's ID in messages; two servers of a fleet rarely share one.
func shortID(id ServerID) uint16 { return uint16(id ^ id>>16) }

const (
	reportVersion     = 2
	inFlightVersion   = 4
	reportHeaderSize  = 12
	inFlightEntrySize = 3
	inFlightFailedBit = 1 << 7 // of an entry's last byte, like the next two
	inFlightErrorBit  = 1 << 6
	maxEntryInFlight  = inFlightErrorBit - 1 // attempts in flight
	maxCount          = 1 << 24              // no router counts this many attempts in a trial
	maxMessageSize    = 256                  // bytes; peers drop longer messages
)

var errMalformed = errors.New("malformed report")

// add adds the counts of b.
func (a *Arm) add(b Arm) {
	to, from := a.fields(), b.fields()
	for i := range to {
		*to[i] += *from[i]
	}
}

// oneIf returns 1 if the condition holds, else 0.
func oneIf(condition bool) uint32 {
	if condition {
		return 1
	}
	return 0
}

// arm returns the arm of the new build or of the old one.
func (c *Counts) arm(isNew bool) *Arm {
	if isNew {
		return &c.New
	}
	return &c.Old
}

// add adds the counts of d.
func (c *Counts) add(d Counts) {
	c.Old.add(d.Old)
	c.New.add(d.New)
}

// attempts returns the number of attempts in both arms.
func (c Counts) attempts() uint32 { return c.Old.Attempts + c.New.Attempts }

// fields returns the counters in the order in which they are encoded.
func (a *Arm) fields() [6]*uint32 {
	return [6]*uint32{&a.Attempts, &a.Missed, &a.Errors, &a.Measured, &a.Slow, &a.Wrong}
}

// isPossible reports whether counts can be cumulative counts of attempts.
func (a Arm) isPossible() bool {
	return a.Attempts <= maxCount && a.Missed <= a.Attempts && a.Errors+a.Wrong <= a.Missed &&
		a.Slow <= a.Measured && a.Measured <= a.Attempts
}

// isOlderThan reports whether another report of the same incarnation of a router was made after this one.
func (r *Report) isOlderThan(other Report) bool {
	if other.Build != r.Build {
		return other.Build > r.Build
	}
	return other.Stage > r.Stage || other.Stage == r.Stage && other.BuildCounts.attempts() > r.BuildCounts.attempts()
}

// arms returns the arms in the order in which they are encoded.
func (r *Report) arms() []*Arm {
	return []*Arm{&r.StageCounts.Old, &r.StageCounts.New, &r.BuildCounts.Old, &r.BuildCounts.New}
}

// Encode returns the report's bytes.
func (r Report) Encode() []byte {
	b := make([]byte, 0, 128)
	b = append(b, reportVersion)
	b = binary.BigEndian.AppendUint32(b, r.Incarnation)
	b = binary.BigEndian.AppendUint16(b, uint16(r.Build))
	b = append(b, byte(r.Stage))
	b = binary.BigEndian.AppendUint16(b, r.Demand)
	b = binary.BigEndian.AppendUint16(b, r.UsualDemand)
	b = binary.AppendUvarint(b, uint64(r.BaselineAnswers))
	for _, a := range r.arms() {
		for _, c := range a.fields() {
			b = binary.AppendUvarint(b, uint64(*c))
		}
	}
	return b
}

// DecodeReport decodes a report. A malformed report, another version and impossible counts are errors.
func DecodeReport(b []byte) (Report, error) {
	if len(b) < reportHeaderSize || len(b) > maxMessageSize || b[0] != reportVersion {
		return Report{}, errMalformed
	}
	r := Report{Incarnation: binary.BigEndian.Uint32(b[1:]), Build: BuildID(binary.BigEndian.Uint16(b[5:])),
		Stage: int(b[7]), Demand: binary.BigEndian.Uint16(b[8:]), UsualDemand: binary.BigEndian.Uint16(b[10:])}
	b = b[reportHeaderSize:]
	baseline, size := binary.Uvarint(b)
	if size <= 0 || baseline > maxCount {
		return Report{}, errMalformed
	}
	r.BaselineAnswers, b = uint32(baseline), b[size:]
	for _, a := range r.arms() {
		for _, dst := range a.fields() {
			n, size := binary.Uvarint(b)
			if size <= 0 || n > maxCount {
				return Report{}, errMalformed
			}
			*dst, b = uint32(n), b[size:]
		}
		if !a.isPossible() {
			return Report{}, errMalformed
		}
	}
	if len(b) > 0 {
		return Report{}, errMalformed
	}
	return r, nil
}

// Encode returns the message's bytes. Servers beyond those that fit into one message are left out.
func (m InFlightReport) Encode() []byte {
	b := []byte{inFlightVersion}
	for _, s := range m[:min(len(m), (maxMessageSize-1)/inFlightEntrySize)] {
		b = binary.BigEndian.AppendUint16(b, s.Server)
		b = append(b, byte(min(s.InFlight, maxEntryInFlight))|byte(oneIf(s.Failed)*inFlightFailedBit)|
			byte(oneIf(s.AnsweredError)*inFlightErrorBit))
	}
	return b
}

// DecodeInFlightReport decodes an in-flight report. A malformed message and another version are errors.
func DecodeInFlightReport(b []byte) (InFlightReport, error) {
	if len(b) == 0 || len(b) > maxMessageSize || b[0] != inFlightVersion || len(b)%inFlightEntrySize != 1 {
		return nil, errMalformed
	}
	var m InFlightReport
	for b = b[1:]; len(b) > 0; b = b[inFlightEntrySize:] {
		m = append(m, BusyServer{binary.BigEndian.Uint16(b), int(b[2] & maxEntryInFlight),
			b[2]&inFlightFailedBit > 0, b[2]&inFlightErrorBit > 0})
	}
	return m, nil
}
