package keyed

import (
	"lynxfold/core/call"
	"lynxfold/core/host"
)

// write claims the key: by a new row when there is none, else in place of the
// row last seen.
func (ca *Call) write() {
	ca.phase = phaseClaiming
	ca.put(ca.claim)
}

// put writes a row over the one last seen.
func (ca *Call) put(row Row) {
	ca.forgetPlan()
	ca.op++
	if ca.tag == "" {
		ca.do(CreateRow{
			Op:  ca.op,
			Row: row,
		})
		return
	}
	ca.do(UpdateRow{
		Op:  ca.op,
		Tag: ca.tag,
		Row: row,
	})
}

func (ca *Call) read(ph phase) {
	ca.forgetPlan()
	ca.phase = ph
	ca.op++
	ca.do(ReadRow{Op: ca.op})
}

// rowResult takes the end of the latest operation; late ones are ignored.
func (ca *Call) rowResult(ev RowResult) {
	if ev.Op != ca.op {
		return
	}
	if ev.Status == RowDone || ev.Status == RowConflict {
		ca.row = ev.Row
		ca.tag = ev.Tag
	}
	switch ca.phase {
	case phaseClaiming:
		ca.claimed(ev)
	case phaseResolving:
		ca.resolved(ev)
	case phaseRereading:
		ca.rereadDone(ev)
	case phaseBurying:
		ca.buried(ev)
	case phaseFinishing:
		ca.finished(ev)
	case phaseNew, phaseRunning, phaseFollowing, phaseDone:
	}
}

// claimed takes the end of the write of the own claim.
func (ca *Call) claimed(ev RowResult) {
	switch ev.Status {
	case RowDone:
		ca.dispatch()
	case RowConflict:
		ca.see()
	case RowFailed:
		if ca.doubtful {
			ca.resolve()
			return
		}
		ca.refuse(ReasonTableDown)
	case RowDoubt, RowAbsent:
		ca.doubtful = true
		ca.resolve()
	}
}

// resolve reads whether a write took effect; after a few tries without a clear
// end the claim is given up.
func (ca *Call) resolve() {
	ca.doubts++
	if ca.doubts > maxDoubts {
		ca.bury()
		return
	}
	ca.phase = phaseResolving
	if ca.doubts == 1 {
		ca.read(phaseResolving)
		return
	}
	ca.later(ca.doubts, func() { ca.read(phaseResolving) })
}

// resolved takes the row as it stands. When the write is not there it may still
// come, so it is written again: the row's version lets only one take effect.
func (ca *Call) resolved(ev RowResult) {
	switch ev.Status {
	case RowDone, RowConflict:
		ca.see()
	case RowAbsent:
		ca.tag = ""
		if !ca.inTime() {
			ca.bury()
			return
		}
		ca.write()
	case RowFailed, RowDoubt:
		ca.resolve()
	}
}

// see decides by the row that the table holds.
func (ca *Call) see() {
	ro := ca.row
	if ro.Digest != ca.cfg.Digest {
		ca.refuse(ReasonKeyReused)
		return
	}
	switch ro.State {
	case RowFinished:
		ca.answerFromRow()
	case RowTombstone:
		ca.replace()
	case RowClaimed:
		switch {
		case ro.Attempt == ca.claim.Attempt:
			ca.dispatch()
		case ca.doubtful && ca.ownEarlier():
			ca.replace()
		default:
			ca.follow()
		}
	}
}

// ownEarlier tells whether the row holds an earlier claim of this call, whose
// attempt did not run.
func (ca *Call) ownEarlier() bool {
	or, ok := ca.row.Attempt.Origin()
	return ok && or.Issuer == ca.cfg.Issuer && or.Call == ca.cfg.Number
}

// replace writes the own claim over a row whose attempt did not run.
func (ca *Call) replace() {
	if !ca.inTime() {
		ca.refuse(host.ReasonDeadline)
		return
	}
	ca.write()
}

func (ca *Call) answerFromRow() {
	if !ca.row.HasAnswer {
		ca.end(call.OutcomeUnknown, call.ReasonAnswerLost)
		return
	}
	if !ca.answered {
		ca.answered = true
		ca.do(AnswerFromRow{Row: ca.row})
	}
	ca.phase = phaseDone
}

// bury gives the claim up: only when the tombstone is there can a late claim no
// longer take effect.
func (ca *Call) bury() {
	ca.phase = phaseBurying
	ca.doubts = 0
	ca.putTombstone()
}

func (ca *Call) putTombstone() {
	row := ca.claim
	row.State = RowTombstone
	ca.put(row)
}

// buried takes the end of the write of a tombstone.
func (ca *Call) buried(ev RowResult) {
	own := ca.row.Attempt == ca.claim.Attempt
	switch {
	case ev.Status == RowDone:
		ca.refuse(ca.givenUp())
	case ev.Status == RowConflict && own && ca.row.State == RowTombstone:
		ca.refuse(ca.givenUp())
	case ev.Status == RowConflict && !own:
		ca.see()
	case ev.Status == RowConflict:
		ca.putTombstone()
	case ca.doubts >= maxDoubts:
		ca.end(call.OutcomeUnknown, ReasonTableDoubt)
	default:
		ca.doubts++
		ca.later(ca.doubts, ca.putTombstone)
	}
}

// givenUp says why the claim was given up.
func (ca *Call) givenUp() host.Reason {
	if ca.doubtful {
		return ReasonTableDown
	}
	return host.ReasonDeadline
}

// finish writes the finished row after the caller has been answered.
func (ca *Call) finish(row Row) {
	ca.phase = phaseFinishing
	ca.doubts = 0
	ca.claim = row
	ca.claim.State = RowFinished
	ca.put(ca.claim)
}

// finished repeats the write until its end is clear. A conflict means that
// another node has seen the same end.
func (ca *Call) finished(ev RowResult) {
	if ev.Status == RowDone || ev.Status == RowConflict || ca.doubts >= maxDoubts {
		ca.phase = phaseDone
		return
	}
	ca.doubts++
	ca.later(ca.doubts, func() { ca.put(ca.claim) })
}
