package caller

import (
	"fmt"
	"strconv"
	"time"

	"lynxfold/core/call"
	"lynxfold/core/host"
	"lynxfold/io/operator/record"
)

// HeaderCallID is on every answer to a call that matched a route. Its value is
// the argument of "lynxfold explain call".
const HeaderCallID = "Lynxfold-Call"

// Recorder records decisions about calls for operators.
type Recorder interface {
	// AddCall records an entry.
	AddCall(en record.Entry)
}

// formatCallID returns the ID of a call, which is the prefix of the IDs of its
// attempts.
func (sv *Server) formatCallID(number uint64) record.CallID {
	cfg := &sv.cfg
	buf := make([]byte, 0, len(cfg.Host)+48)
	buf = append(buf, cfg.Host...)
	buf = append(buf, '.')
	buf = strconv.AppendUint(buf, uint64(cfg.Incarnation), 10)
	buf = append(buf, '.')
	buf = strconv.AppendUint(buf, number, 10)
	return record.CallID(buf)
}

// newEntry returns an entry with the fields that all entries of the call share.
func (ex *exchange) newEntry(ki record.Kind) record.Entry {
	return record.Entry{
		At:       time.Now(),
		Kind:     ki,
		Call:     ex.callID,
		Route:    ex.target.Route.Name,
		Service:  ex.target.Route.Service,
		Customer: ex.customer.Name,
	}
}

// recordAttempt records the chosen upstream, the number of candidates and the
// reason for a retry.
func (ex *exchange) recordAttempt(sa call.SendAttempt) {
	if ex.server.cfg.Recorder == nil {
		return
	}
	en := ex.newEntry(record.KindAttempt)
	en.Attempt = sa.Attempt
	en.Host = sa.Upstream.Host
	en.DataCentre = string(sa.Upstream.DataCentre)
	en.Reason = string(sa.Reason)
	en.Detail = fmt.Sprintf("chosen by load and latency among %d usable upstreams", len(ex.view.Upstreams[sa.Upstream.Service]))
	if ep, ok := ex.server.expectation(sa.Upstream, en.At); ok {
		en.Detail += describeExpectation(ep)
	}
	ex.server.cfg.Recorder.AddCall(en)
}

// describeExpectation describes what was expected of the chosen upstream, with the attempt
// itself.
func describeExpectation(ep call.Expectation) string {
	text := fmt.Sprintf("; expected there: %.2f of its slots in use, %d ms to wait, %d ms to run, ",
		ep.Fill, ep.Wait.Milliseconds(), ep.RunTime.Milliseconds())
	if ep.ReportAge < 0 {
		return text + "no load report"
	}
	return text + fmt.Sprintf("load report %d ms old", ep.ReportAge.Milliseconds())
}

// recordEnd records the result of an attempt.
func (at *attempt) recordEnd(re call.Result) {
	ex := at.exchange
	if ex.server.cfg.Recorder == nil {
		return
	}
	en := ex.newEntry(record.KindAttemptEnded)
	en.Attempt = at.action.Attempt
	en.Host = at.action.Upstream.Host
	en.Outcome = string(re.Outcome)
	en.Reason = string(re.Reason)
	switch rf := at.reply.Refusal; {
	case re.RateLimited:
		en.Detail = "the upstream's rate limit left no room"
	case rf.GetAhead() > 0 || rf.GetKeptSlots() > 0:
		en.Detail = fmt.Sprintf("%d attempts were queued ahead, %d slots were kept free for more urgent ones",
			rf.GetAhead(), rf.GetKeptSlots())
	}
	ex.server.cfg.Recorder.AddCall(en)
}

// recordAnswer sets HeaderCallID, and records the answer and why there was no
// further attempt.
func (ex *exchange) recordAnswer(an call.Respond) {
	ex.httpCtx.Response.Header.Set(HeaderCallID, string(ex.callID))
	if ex.server.cfg.Recorder == nil {
		return
	}
	en := ex.newEntry(record.KindAnswer)
	en.Attempt = an.Attempt
	en.Outcome = string(an.Result.Outcome)
	en.Reason = string(an.Result.Reason)
	if an.Result.Reason == host.ReasonQuarantined || an.Result.Reason == host.ReasonUpstreamCrashed {
		en.Detail = ex.describeCrashes(en.At)
		ex.server.cfg.Recorder.AddCall(en)
		return
	}
	if an.Result.Reason == call.ReasonServiceFull {
		en.Detail = ex.describeThrottled(en.At)
		ex.server.cfg.Recorder.AddCall(en)
		return
	}
	if an.NoRetryReason != "" && an.NoRetryReason != call.NoRetryFinal {
		en.Detail = "no further attempt: " + string(an.NoRetryReason)
	}
	ex.server.cfg.Recorder.AddCall(en)
}
