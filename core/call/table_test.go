package call_test

import (
	"strconv"

	"lynxfold/core/call/keyed"
)

// tableRow is a row with its version and the answer's body.
type tableRow struct {
	row  keyed.Row
	tag  keyed.Tag
	body int
}

// table is the platform's, for the rows of keys.
type table struct {
	rows   map[string]tableRow
	writes int
	down   bool
}

// request carries out an operation: at once, late, without an answer or not at all.
func (tb *table) request(in *ingress, ca *callState, ac any) {
	wo := in.world
	op := opOf(ac)
	alive := in.alive()
	answer := func(ev rowResult) {
		ev.Op = op
		if wo.standIns.row != nil {
			ev = wo.standIns.row(ev)
		}
		wo.send(&message{
			deliver: func() { in.post(func() { in.step(ca, ev) }) },
			alive:   alive,
		})
	}
	switch {
	case tb.down || wo.chance(12):
		answer(rowResult{Status: keyed.RowFailed})
	case wo.chance(6):
		answer(rowResult{Status: keyed.RowDoubt})
		if wo.chance(2) {
			wo.send(&message{
				deliver: func() { tb.apply(ca, ac) },
				alive:   func() bool { return true },
			})
		}
	case wo.chance(6):
		tb.apply(ca, ac)
		answer(rowResult{Status: keyed.RowDoubt})
	default:
		wo.send(&message{
			deliver: func() { answer(tb.apply(ca, ac)) },
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

// apply has the effect of an operation.
func (tb *table) apply(ca *callState, ac any) rowResult {
	there, ok := tb.rows[ca.key]
	switch ac := ac.(type) {
	case keyed.ReadRow:
		if !ok {
			return rowResult{Status: keyed.RowAbsent}
		}
		return rowResult{Status: keyed.RowDone, Row: there.row, Tag: there.tag}
	case keyed.CreateRow:
		if ok {
			return rowResult{Status: keyed.RowConflict, Row: there.row, Tag: there.tag}
		}
		return tb.put(ca, ac.Row)
	case keyed.UpdateRow:
		if !ok {
			return rowResult{Status: keyed.RowAbsent}
		}
		if there.tag != ac.Tag {
			return rowResult{Status: keyed.RowConflict, Row: there.row, Tag: there.tag}
		}
		return tb.put(ca, ac.Row)
	}
	return rowResult{}
}

func (tb *table) put(ca *callState, row keyed.Row) rowResult {
	tb.writes++
	body := 0
	if row.State == keyed.RowFinished {
		body = ca.bodies[row.Attempt]
		row.HasAnswer = true
	}
	put := tableRow{
		row:  row,
		tag:  keyed.Tag(strconv.Itoa(tb.writes)),
		body: body,
	}
	tb.rows[ca.key] = put
	return rowResult{Status: keyed.RowDone, Row: row, Tag: put.tag}
}
