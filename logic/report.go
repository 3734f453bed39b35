package logic

import (
	"encoding/binary"
	"errors"
)

// Counts are attempts of both arms: served within the aim, and the rest.
type Counts struct{ OldOK, OldBad, NewOK, NewBad uint32 }

// Report is one router's cumulative counts for one stage of one build. The incarnation tells a restarted
// router's counts from those it gave before.
type Report struct {
	Incarnation uint32
	Build       BuildID
	Stage       int
	Counts      Counts
	Busy        []BusyServer
}

// BusyServer tells how many attempts a router has out at a server.
type BusyServer struct {
	Server   ServerID
	InFlight int
}

const (
	reportVersion = 1
	maxCount      = 1 << 24 // no router counts this many attempts in a stage
	maxReport     = 256     // the longest message peers accept
)

var errReport = errors.New("malformed report")

// Encode gives the report's bytes, leaving out the busy servers that no longer fit.
func (r Report) Encode() []byte {
	b := make([]byte, 0, 64)
	b = append(b, reportVersion)
	b = binary.BigEndian.AppendUint32(b, r.Incarnation)
	b = binary.BigEndian.AppendUint16(b, uint16(r.Build))
	b = append(b, byte(r.Stage))
	for _, c := range []uint32{r.Counts.OldOK, r.Counts.OldBad, r.Counts.NewOK, r.Counts.NewBad} {
		b = binary.AppendUvarint(b, uint64(c))
	}
	for _, s := range r.Busy {
		if len(b)+5 > maxReport {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(s.Server))
		b = append(b, byte(min(s.InFlight, 255)))
	}
	return b
}

// DecodeReport reads a report; anything malformed, of another version or with impossible counts is an error.
func DecodeReport(b []byte) (Report, error) {
	if len(b) < 8 || len(b) > maxReport || b[0] != reportVersion {
		return Report{}, errReport
	}
	r := Report{Incarnation: binary.BigEndian.Uint32(b[1:]), Build: BuildID(binary.BigEndian.Uint16(b[5:])),
		Stage: int(b[7])}
	b = b[8:]
	for _, dst := range []*uint32{&r.Counts.OldOK, &r.Counts.OldBad, &r.Counts.NewOK, &r.Counts.NewBad} {
		n, size := binary.Uvarint(b)
		if size <= 0 || n > maxCount {
			return Report{}, errReport
		}
		*dst, b = uint32(n), b[size:]
	}
	if len(b)%5 != 0 {
		return Report{}, errReport
	}
	for ; len(b) > 0; b = b[5:] {
		r.Busy = append(r.Busy, BusyServer{ServerID(binary.BigEndian.Uint32(b)), int(b[4])})
	}
	return r, nil
}
