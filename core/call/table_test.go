package call_test

import (
	"strconv"

	"lynxfold/core/call/keyed"
)

// tableRow is a row with its version and the response body of its call.
type tableRow struct {
	row  keyed.Row
	tag  keyed.ETag
	body int
}

// table simulates the platform's table of keyed calls.
type table struct {
	rows   map[string]tableRow
	writes int
	// down makes all operations fail.
	down bool
}

// request performs an operation of a call. The operation may be delayed or fail, and
// its reply may be lost.
func (tb *table) request(in *ingress, ca *callState, ac any) {
	sm := in.sim
	op := opOf(ac)
	alive := in.alive()
	respond := func(ev rowResult) {
		ev.Op = op
		if sm.mutations.row != nil {
			ev = sm.mutations.row(ev)
		}
		sm.send(&message{
			deliver: func() { in.post(func() { in.step(ca, ev) }) },
			alive:   alive,
		})
	}
	switch {
	case tb.down || sm.chance(12):
		respond(rowResult{Status: keyed.OpFailed})
	case sm.chance(6):
		respond(rowResult{Status: keyed.OpInDoubt})
		if sm.chance(2) {
			sm.send(&message{
				deliver: func() { tb.apply(ca, ac) },
				alive:   func() bool { return true },
			})
		}
	case sm.chance(6):
		tb.apply(ca, ac)
		respond(rowResult{Status: keyed.OpInDoubt})
	default:
		sm.send(&message{
			deliver: func() { respond(tb.apply(ca, ac)) },
			alive:   func() bool { return true },
		})
	}
}

func opOf(ac any) keyed.Op {
	switch ac := ac.(type) {
	case keyed.ReadRow:
		return ac.Op
	case keyed.CreateRow:
		return ac.Op
	case keyed.UpdateRow:
		return ac.Op
	}
	return 0
}

// apply applies an operation to the table and returns its result.
func (tb *table) apply(ca *callState, ac any) rowResult {
	existing, ok := tb.rows[ca.key]
	switch ac := ac.(type) {
	case keyed.ReadRow:
		if !ok {
			return rowResult{Status: keyed.OpAbsent}
		}
		return rowResult{Status: keyed.OpDone, Row: existing.row, ETag: existing.tag}
	case keyed.CreateRow:
		if ok {
			return rowResult{Status: keyed.OpConflict, Row: existing.row, ETag: existing.tag}
		}
		return tb.put(ca, ac.Row)
	case keyed.UpdateRow:
		if !ok {
			return rowResult{Status: keyed.OpAbsent}
		}
		if existing.tag != ac.ETag {
			return rowResult{Status: keyed.OpConflict, Row: existing.row, ETag: existing.tag}
		}
		return tb.put(ca, ac.Row)
	}
	return rowResult{}
}

// put writes the row of a call with a new version.
func (tb *table) put(ca *callState, row keyed.Row) rowResult {
	tb.writes++
	body := 0
	if row.State == keyed.RowFinished {
		body = ca.bodies[row.Attempt]
		row.HasAnswer = true
	}
	put := tableRow{
		row:  row,
		tag:  keyed.ETag(strconv.Itoa(tb.writes)),
		body: body,
	}
	tb.rows[ca.key] = put
	return rowResult{Status: keyed.OpDone, Row: row, ETag: put.tag}
}
