package caller

import (
	"fmt"
	"strconv"
	"time"

	"lynxfold/core/call"
	"lynxfold/io/operator/record"
)

// HeaderCallID is on every answer to a call that took a route; lynxfold explain
// call takes its value.
const HeaderCallID = "Lynxfold-Call"

// Recorder keeps decisions about calls, so that operators can ask why.
type Recorder interface {
	Call(en record.Entry)
}

// formatCallID names the call; the ids of its attempts begin with it.
func (ex *exchange) formatCallID() record.CallID {
	cfg := &ex.server.cfg
	buf := make([]byte, 0, len(cfg.Host)+48)
	buf = append(buf, cfg.Host...)
	buf = append(buf, '.')
	buf = strconv.AppendUint(buf, uint64(cfg.Incarnation), 10)
	buf = append(buf, '.')
	buf = strconv.AppendUint(buf, ex.number, 10)
	return record.CallID(buf)
}

// newEntry begins an entry about the call.
func (ex *exchange) newEntry(ki record.Kind) record.Entry {
	return record.Entry{
		At:      time.Now(),
		Kind:    ki,
		Call:    ex.callID,
		Route:   ex.target.Route.Name,
		Service: ex.target.Route.Service,
	}
}

// recordAttempt keeps which upstream was chosen, among how many, and why again.
func (ex *exchange) recordAttempt(tr call.SendAttempt) {
	if ex.server.cfg.Record == nil {
		return
	}
	en := ex.newEntry(record.KindAttempt)
	en.Attempt = tr.Attempt
	en.Host = tr.Upstream.Host
	en.DataCentre = string(tr.Upstream.DataCentre)
	en.Reason = string(tr.Reason)
	en.Detail = fmt.Sprintf("chosen by load and latency among %d usable upstreams", len(ex.view.Upstreams[tr.Upstream.Service]))
	ex.server.cfg.Record.Call(en)
}

// recordEnd keeps how an attempt ended.
func (at *attempt) recordEnd(re call.Result) {
	ex := at.exchange
	if ex.server.cfg.Record == nil {
		return
	}
	en := ex.newEntry(record.KindAttemptEnded)
	en.Attempt = at.action.Attempt
	en.Host = at.action.Upstream.Host
	en.Outcome = string(re.Outcome)
	en.Reason = string(re.Reason)
	ex.server.cfg.Record.Call(en)
}

// recordAnswer keeps what the caller was told, and why no further attempt was made.
func (ex *exchange) recordAnswer(an call.Respond) {
	ex.httpCtx.Response.Header.Set(HeaderCallID, string(ex.callID))
	if ex.server.cfg.Record == nil {
		return
	}
	en := ex.newEntry(record.KindAnswer)
	en.Attempt = an.Attempt
	en.Outcome = string(an.Result.Outcome)
	en.Reason = string(an.Result.Reason)
	if an.NoRetryReason != "" && an.NoRetryReason != call.NoRetryFinal {
		en.Detail = "no further attempt: " + string(an.NoRetryReason)
	}
	ex.server.cfg.Record.Call(en)
}
