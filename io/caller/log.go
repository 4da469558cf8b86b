package caller

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"lynxfold/core/call"
)

// httpLogger writes the HTTP library's messages to the log.
type httpLogger struct {
	log zerolog.Logger
}

// Printf implements fasthttp.Logger. It logs at debug level only, because the
// messages can quote requests.
func (hl httpLogger) Printf(format string, args ...any) {
	hl.log.Debug().Str("detail", fmt.Sprintf(format, args...)).Msg("http server message")
}

// logAnswer logs the answer, its attempts and the time that was left. Successful
// answers within the objective go to the log for routine events.
func (ex *exchange) logAnswer(an call.Respond) {
	now := time.Now()
	ev := ex.server.cfg.RoutineLog.Info()
	message := "call answered"
	if !ex.isRoutine(an, now) {
		ev = ex.server.cfg.Log.Warn()
		message = "call failed or was answered late"
	}
	if !ev.Enabled() {
		return
	}
	ev.Str("event", "answer").
		Str("request", ex.requestID).
		Str("call", string(ex.callID)).
		Str("route", string(ex.target.Route.Name)).
		Str("service", string(ex.target.Route.Service)).
		Str("customer", string(ex.customer.Name)).
		Uint64("config_version", uint64(ex.view.Config.Version)).
		Str("outcome", string(an.Result.Outcome)).
		Int("status", an.Result.Status).
		Str("reason", string(an.Result.Reason)).
		Str("no_further_attempt", string(an.NoRetryReason)).
		Bool("nested", ex.nested).
		Bool("returning", ex.returning).
		Int("upstreams", len(ex.view.Upstreams[ex.target.Route.Service])).
		Int64("took_ms", now.Sub(ex.startedAt).Milliseconds()).
		Int64("deadline_left_ms", ex.deadline.Sub(now).Milliseconds())
	if !an.Result.RetryAfter.IsZero() {
		ev.Int64("come_back_in_ms", an.Result.RetryAfter.Sub(now).Milliseconds())
	}
	attempts := zerolog.Arr()
	for _, at := range ex.attempts {
		attempts.Object(at)
	}
	ev.Array("attempts", attempts).Msg(message)
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (at *attempt) MarshalZerologObject(ev *zerolog.Event) {
	ev.Str("attempt", string(at.action.Attempt)).
		Str("host", string(at.action.Upstream.Host)).
		Str("data_centre", string(at.action.Upstream.DataCentre))
	if at.action.Reason != "" {
		ev.Str("why", string(at.action.Reason))
	}
	if at.done != nil {
		select {
		case <-at.done:
		default:
			ev.Bool("running", true)
			return
		}
	}
	if at.reply.Pending != nil {
		ev.Bool("silent", true)
	}
	ev.Str("outcome", string(at.finalResult.Outcome)).
		Int("status", at.finalResult.Status).
		Str("reason", string(at.finalResult.Reason)).
		Int64("took_ms", at.duration.Milliseconds())
	if at.finalResult.RateLimited {
		ev.Bool("rate_limited", true)
	}
	if at.reply.Detail != "" {
		ev.Str("detail", at.reply.Detail)
	}
}

// isRoutine reports whether the answer is successful and within the objective.
func (ex *exchange) isRoutine(an call.Respond, now time.Time) bool {
	return an.Result.Outcome == call.OutcomeRan && an.Result.Status < fasthttp.StatusInternalServerError &&
		(ex.objective.IsZero() || !now.After(ex.objective))
}

// logTruncatedAnswer logs that an answer was not written completely.
func (ex *exchange) logTruncatedAnswer(err error) {
	ex.server.cfg.Log.Warn().
		Err(err).
		Str("event", "answer_cut").
		Str("request", ex.requestID).
		Str("call", string(ex.callID)).
		Int64("deadline_left_ms", time.Until(ex.deadline).Milliseconds()).
		Msg("answer was not sent completely")
}

// refuseEarly refuses a request before any attempt, and logs the reason.
func (sv *Server) refuseEarly(ctx *fasthttp.RequestCtx, status int, re call.Result) {
	sv.cfg.Log.Warn().
		Str("event", "refused_early").
		Str("request", sv.cfg.Protocol.RequestID(&ctx.Request.Header)).
		Int("status", status).
		Str("reason", string(re.Reason)).
		Uint64("config_version", uint64(sv.cfg.View().Config.Version)).
		Msg("request was refused before an attempt")
	sv.refuse(ctx, status, re)
}
