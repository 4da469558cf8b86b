package keyed

import (
	"lynxfold/core/call"
	"lynxfold/core/host"
)

// writeClaim creates the key's row with this call's claim, or replaces the row
// last seen.
func (ca *Call) writeClaim() {
	ca.phase = phaseClaiming
	ca.writeRow(ca.claim)
}

// writeRow writes a row on condition that the row last seen is unchanged.
func (ca *Call) writeRow(row Row) {
	ca.cancelScheduled()
	ca.op++
	if ca.etag == "" {
		ca.emit(CreateRow{
			Op:  ca.op,
			Row: row,
		})
		return
	}
	ca.emit(UpdateRow{
		Op:   ca.op,
		ETag: ca.etag,
		Row:  row,
	})
}

func (ca *Call) readRow(ph phase) {
	ca.cancelScheduled()
	ca.phase = ph
	ca.op++
	ca.emit(ReadRow{Op: ca.op})
}

// handleRowResult handles the result of the latest operation. Late results of
// earlier ones are ignored.
func (ca *Call) handleRowResult(ev RowResult) {
	if ev.Op != ca.op {
		return
	}
	if ev.Status == OpDone || ev.Status == OpConflict {
		ca.row = ev.Row
		ca.etag = ev.ETag
	}
	switch ca.phase {
	case phaseClaiming:
		ca.handleClaimWrite(ev)
	case phaseResolving:
		ca.handleResolveRead(ev)
	case phaseRereading:
		ca.handleReread(ev)
	case phaseRevoking:
		ca.handleRevocation(ev)
	case phaseFinishing:
		ca.handleFinishedWrite(ev)
	case phaseNew, phaseRunning, phaseFollowing, phaseDone:
	}
}

func (ca *Call) handleClaimWrite(ev RowResult) {
	switch ev.Status {
	case OpDone:
		ca.sendAttempt()
	case OpConflict:
		ca.actOnRow()
	case OpFailed:
		if ca.writeInDoubt {
			ca.resolveClaim()
			return
		}
		ca.refuse(ReasonTableDown)
	case OpInDoubt, OpAbsent:
		ca.writeInDoubt = true
		ca.resolveClaim()
	}
}

// resolveClaim reads whether the claim was stored. It revokes the claim after
// maxTableRetries operations without a definite result.
func (ca *Call) resolveClaim() {
	ca.tableRetries++
	if ca.tableRetries > maxTableRetries {
		ca.revokeClaim()
		return
	}
	ca.phase = phaseResolving
	if ca.tableRetries == 1 {
		ca.readRow(phaseResolving)
		return
	}
	ca.scheduleWithBackoff(ca.tableRetries, func() { ca.readRow(phaseResolving) })
}

// handleResolveRead handles the read after a write in doubt. An absent write
// may still arrive late, so it is repeated: both writes have the same
// condition, so that only one of them can take effect.
func (ca *Call) handleResolveRead(ev RowResult) {
	switch ev.Status {
	case OpDone, OpConflict:
		ca.actOnRow()
	case OpAbsent:
		ca.etag = ""
		if !ca.hasTimeForAttempt() {
			ca.revokeClaim()
			return
		}
		ca.writeClaim()
	case OpFailed, OpInDoubt:
		ca.resolveClaim()
	}
}

// actOnRow continues the call according to the row last seen.
func (ca *Call) actOnRow() {
	ro := ca.row
	if ro.Digest != ca.cfg.Digest {
		ca.refuse(ReasonKeyReused)
		return
	}
	switch ro.State {
	case RowFinished:
		ca.answerFromRow()
	case RowTombstone:
		ca.overwriteRow()
	case RowClaimed:
		switch {
		case ro.Attempt == ca.claim.Attempt:
			ca.sendAttempt()
		case ca.writeInDoubt && ca.holdsOwnEarlierClaim():
			ca.overwriteRow()
		default:
			ca.followClaim()
		}
	}
}

// holdsOwnEarlierClaim reports whether the row holds an earlier claim of this
// call. The attempt of such a claim did not run.
func (ca *Call) holdsOwnEarlierClaim() bool {
	or, ok := ca.row.Attempt.Origin()
	return ok && or.Issuer == ca.cfg.Issuer && or.Call == ca.cfg.Number
}

// overwriteRow writes this call's claim over a row whose attempt did not run.
func (ca *Call) overwriteRow() {
	if !ca.hasTimeForAttempt() {
		ca.refuse(host.ReasonDeadline)
		return
	}
	ca.writeClaim()
}

func (ca *Call) answerFromRow() {
	if !ca.row.HasAnswer {
		ca.endCall(call.OutcomeUnknown, call.ReasonAnswerLost)
		return
	}
	if !ca.answered {
		ca.answered = true
		ca.emit(AnswerFromRow{Row: ca.row})
	}
	ca.phase = phaseDone
}

// revokeClaim writes a tombstone over the claim. A late write of the claim can
// still take effect until the tombstone is stored.
func (ca *Call) revokeClaim() {
	ca.phase = phaseRevoking
	ca.tableRetries = 0
	ca.writeTombstone()
}

func (ca *Call) writeTombstone() {
	row := ca.claim
	row.State = RowTombstone
	ca.writeRow(row)
}

// handleRevocation handles the result of the write of a tombstone.
func (ca *Call) handleRevocation(ev RowResult) {
	own := ca.row.Attempt == ca.claim.Attempt
	switch {
	case ev.Status == OpDone:
		ca.refuse(ca.revocationReason())
	case ev.Status == OpConflict && own && ca.row.State == RowTombstone:
		ca.refuse(ca.revocationReason())
	case ev.Status == OpConflict && !own:
		ca.actOnRow()
	case ev.Status == OpConflict:
		ca.writeTombstone()
	case ca.tableRetries >= maxTableRetries:
		ca.endCall(call.OutcomeUnknown, ReasonTableDoubt)
	default:
		ca.tableRetries++
		ca.scheduleWithBackoff(ca.tableRetries, ca.writeTombstone)
	}
}

// revocationReason returns the reason for which the claim was revoked.
func (ca *Call) revocationReason() host.Reason {
	if ca.writeInDoubt {
		return ReasonTableDown
	}
	return host.ReasonDeadline
}

// writeFinished writes the finished row. The caller has been answered by then.
func (ca *Call) writeFinished(row Row) {
	ca.phase = phaseFinishing
	ca.tableRetries = 0
	ca.claim = row
	ca.claim.State = RowFinished
	ca.writeRow(ca.claim)
}

// handleFinishedWrite repeats the write until its result is definite or
// maxTableRetries is reached. A conflict means that another node has recorded
// the same result.
func (ca *Call) handleFinishedWrite(ev RowResult) {
	if ev.Status == OpDone || ev.Status == OpConflict || ca.tableRetries >= maxTableRetries {
		ca.phase = phaseDone
		return
	}
	ca.tableRetries++
	ca.scheduleWithBackoff(ca.tableRetries, func() { ca.writeRow(ca.claim) })
}
