package rollout

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// maxRecords bounds the services with a roll-out that a host knows.
const maxRecords = 1024

// Table holds the latest known record of each service. It is not safe for concurrent use.
type Table struct {
	records map[contract.ServiceName]Record
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[contract.ServiceName]Record{}} }

// Merge takes over the records that supersede the known ones, and returns them.
func (ta *Table) Merge(records []Record) []Record {
	var fresh []Record
	for _, re := range records {
		old, known := ta.records[re.Service]
		if known && !re.Supersedes(old) || !known && len(ta.records) >= maxRecords {
			continue
		}
		if known && old.Order == re.Order {
			// The times of the first record are the closest: those of later ones
			// include the delays of messages.
			re.OrderedAt, re.Deadline = old.OrderedAt, old.Deadline
		}
		ta.records[re.Service] = re
		fresh = append(fresh, re)
	}
	return fresh
}

// Get returns the record of a service.
func (ta *Table) Get(se contract.ServiceName) (Record, bool) {
	re, ok := ta.records[se]
	return re, ok
}

// All returns all records in the order of their services.
func (ta *Table) All() []Record {
	return slices.SortedFunc(maps.Values(ta.records), func(a, b Record) int {
		return cmp.Compare(a.Service, b.Service)
	})
}

// Checksum returns a checksum of the records; 0 when there are none.
func (ta *Table) Checksum() uint64 {
	sum := uint64(0)
	for _, re := range ta.records {
		ha := fnv.New64a()
		_, _ = ha.Write([]byte(re.Service))
		var state [18]byte
		binary.BigEndian.PutUint64(state[:8], uint64(re.Order))
		binary.BigEndian.PutUint64(state[8:16], uint64(re.Revision))
		state[16] = byte(re.Phase)
		if re.Confirmed {
			state[17] = 1
		}
		_, _ = ha.Write(state[:])
		sum ^= ha.Sum64()
	}
	return sum
}

// wirePhases are the phases on the wire.
var wirePhases = map[Phase]wire.RolloutPhase{
	PhaseCanary:     wire.RolloutPhase_ROLLOUT_PHASE_CANARY,
	PhaseShifted:    wire.RolloutPhase_ROLLOUT_PHASE_SHIFTED,
	PhaseCompleted:  wire.RolloutPhase_ROLLOUT_PHASE_COMPLETED,
	PhaseRolledBack: wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK,
}

// ToWire returns the message for a record that is sent at now.
func (re Record) ToWire(now time.Time) *wire.Rollout {
	return &wire.Rollout{
		Service:       string(re.Service),
		Order:         uint64(re.Order),
		Release:       string(re.Release),
		Phase:         wirePhases[re.Phase],
		Revision:      uint64(re.Revision),
		SharePermille: uint32(re.Share),
		AgeUs:         now.Sub(re.OrderedAt).Microseconds(),
		DurationUs:    re.Deadline.Sub(re.OrderedAt).Microseconds(),
		Reason:        string(re.Reason),
		Coordinator:   string(re.Coordinator),
		Confirmed:     re.Confirmed,
	}
}

// RecordFromWire returns the record in a message that arrived at now. It returns false if
// the message has no service or an unknown phase.
func RecordFromWire(wr *wire.Rollout, now time.Time) (Record, bool) {
	re := Record{
		Service:     contract.ServiceName(wr.GetService()),
		Order:       OrderID(wr.GetOrder()),
		Release:     host.Release(wr.GetRelease()),
		Revision:    Revision(wr.GetRevision()),
		Share:       min(Permille(wr.GetSharePermille()), everything),
		OrderedAt:   now.Add(-time.Duration(max(0, wr.GetAgeUs())) * time.Microsecond),
		Reason:      Reason(wr.GetReason()),
		Coordinator: host.ID(wr.GetCoordinator()),
		Confirmed:   wr.GetConfirmed(),
	}
	re.Deadline = re.OrderedAt.Add(time.Duration(max(0, wr.GetDurationUs())) * time.Microsecond)
	for ph, wp := range wirePhases {
		if wp == wr.GetPhase() {
			re.Phase = ph
		}
	}
	return re, re.Service != "" && re.Phase != 0
}

// ToWire returns the message for a report.
func (rp Report) ToWire() *wire.RolloutReport {
	wr := &wire.RolloutReport{
		Host:           string(rp.Host),
		Service:        string(rp.Service),
		Order:          uint64(rp.Order),
		Revision:       uint64(rp.Revision),
		OthersInFlight: uint32(max(0, rp.OthersInFlight)),
	}
	for st, ev := range rp.Evidence {
		wr.Evidence = append(wr.Evidence, &wire.ReleaseEvidence{
			Release:        string(st.Release),
			Route:          string(st.Route),
			Sent:           ev.Sent,
			Answered:       ev.Observed,
			Failed:         ev.Failed,
			Slow:           ev.Slow,
			TotalLatencyUs: ev.Latency.Microseconds(),
			TotalUsualUs:   ev.Usual.Microseconds(),
			Warming:        st.Warming,
		})
	}
	return wr
}

// ReportFromWire returns the report in a message.
func ReportFromWire(wr *wire.RolloutReport) Report {
	rp := Report{
		Host:           host.ID(wr.GetHost()),
		Service:        contract.ServiceName(wr.GetService()),
		Order:          OrderID(wr.GetOrder()),
		Revision:       Revision(wr.GetRevision()),
		OthersInFlight: int(wr.GetOthersInFlight()),
		Evidence:       make(map[Stream]Evidence, len(wr.GetEvidence())),
	}
	for _, we := range wr.GetEvidence() {
		st := Stream{
			Release: host.Release(we.GetRelease()),
			Route:   contract.RouteName(we.GetRoute()),
			Warming: we.GetWarming(),
		}
		rp.Evidence[st] = Evidence{
			Sent:     we.GetSent(),
			Observed: we.GetAnswered(),
			Failed:   we.GetFailed(),
			Slow:     we.GetSlow(),
			Latency:  time.Duration(we.GetTotalLatencyUs()) * time.Microsecond,
			Usual:    time.Duration(we.GetTotalUsualUs()) * time.Microsecond,
		}
	}
	return rp
}
