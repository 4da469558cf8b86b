package caller

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/core/call"
	"lynxfold/core/call/keyed"
	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/quota"
	"lynxfold/io/operator/record"
)

// ReasonQuota is the reason for refusing requests of a customer above its limit.
const ReasonQuota host.Reason = "quota"

const (
	// quotaRefusalsPerSecond and quotaRefusalBurst bound the log lines and records of
	// refusals above a limit, which may come at any rate.
	quotaRefusalsPerSecond = 5
	quotaRefusalBurst      = 20
)

// Quotas admits requests within the limits that hold for all hosts together.
type Quotas interface {
	// Admit takes a token for a request of a customer; it may wait for one. When there is
	// none, it returns when the caller should come back.
	Admit(cu contract.CustomerName, li quota.Limit) (retryAt time.Time, ok bool)
	// GiveBack returns the token of a request that was refused without having run.
	GiveBack(cu contract.CustomerName)
	// ReportOf returns the use of this host by a customer.
	ReportOf(cu contract.CustomerName) quota.AccountReport
}

// quotaToken is the token that a request has taken.
type quotaToken struct {
	quotas   Quotas
	customer contract.CustomerName
}

// giveBack returns the token once, if there is one.
func (qt *quotaToken) giveBack() {
	if qt.quotas != nil {
		qt.quotas.GiveBack(qt.customer)
		qt.quotas = nil
	}
}

// takeToken takes a token for a request. Requests without a limit, and calls that a running
// request makes, need none. When there is no token, it returns when the caller should come
// back.
func (sv *Server) takeToken(ad *admission) (quotaToken, time.Time, bool) {
	li := sv.limitOf(ad)
	if sv.cfg.Quotas == nil || ad.onBehalf || li.Unlimited() {
		return quotaToken{}, time.Time{}, true
	}
	retryAt, ok := sv.cfg.Quotas.Admit(ad.customer.Name, li)
	if !ok {
		now := time.Now()
		return quotaToken{}, call.JitterRetryAfter(retryAt, now, minRetryAfter, sv.jitter()), false
	}
	return quotaToken{
		quotas:   sv.cfg.Quotas,
		customer: ad.customer.Name,
	}, time.Time{}, true
}

// limitOf returns the limit of a request's customer in the newest configuration that has it.
// The request may have waited since its header was read: the limit and its version must be of
// one configuration.
func (sv *Server) limitOf(ad *admission) quota.Limit {
	sn := sv.cfg.View().Config
	if cu, ok := sn.Customer(ad.customer.Name); ok {
		return quota.LimitOf(sn, cu)
	}
	return quota.LimitOf(ad.config, ad.customer)
}

// admitQuota takes a token for a request whose header has been read, or refuses it. Keyed
// calls take theirs when it is known that they are no repeats.
func (sv *Server) admitQuota(ctx *fasthttp.RequestCtx, ad *admission) bool {
	if ad.target.Terms.Keyed {
		return true
	}
	begun := time.Now()
	token, retryAfter, ok := sv.takeToken(ad)
	ad.token, ad.quotaWait = token, time.Since(begun)
	if ok {
		return true
	}
	re := notRunResult(ReasonQuota)
	re.RetryAfter = retryAfter
	sv.refuse(ctx, fasthttp.StatusTooManyRequests, re)
	id := sv.formatCallID(sv.lastCallNumber.Add(1))
	ctx.Response.Header.Set(HeaderCallID, string(id))
	sv.recordQuotaRefusal(ctx, ad, sv.cfg.View().Config, id, re)
	return false
}

// recordQuotaRefusal logs and records a refusal. Beyond a rate, refusals are only counted.
func (sv *Server) recordQuotaRefusal(ctx *fasthttp.RequestCtx, ad *admission, sn *contract.Snapshot, id record.CallID, re call.Result) {
	now := time.Now()
	if !sv.quotaRefusals.AllowN(now, 1) {
		return
	}
	ar := sv.cfg.Quotas.ReportOf(ad.customer.Name)
	sv.cfg.Log.Warn().
		Str("event", "quota_refused").
		Str("request", sv.cfg.Protocol.RequestID(&ctx.Request.Header)).
		Str("call", string(id)).
		Str("route", string(ad.target.Route.Name)).
		Str("customer", string(ad.customer.Name)).
		Float64("limit_per_second", ad.customer.RatePerSecond).
		Float64("demand_per_second", ar.Demand).
		Str("quota_host", string(ar.QuotaHost)).
		Int64("come_back_in_ms", re.RetryAfter.Sub(now).Milliseconds()).
		Uint64("config_version", uint64(sn.Version)).
		Msg("request was refused above the customer's limit")
	if sv.cfg.Recorder == nil {
		return
	}
	sv.cfg.Recorder.AddCall(record.Entry{
		At:       now,
		Kind:     record.KindRefused,
		Call:     id,
		Route:    ad.target.Route.Name,
		Service:  ad.target.Route.Service,
		Customer: ad.customer.Name,
		Version:  sn.Version,
		Outcome:  string(re.Outcome),
		Reason:   string(re.Reason),
		Detail:   describeQuota(ar, re, now),
	})
}

// describeQuota tells operators which limit a request was refused by.
func describeQuota(ar quota.AccountReport, re call.Result, now time.Time) string {
	decimal := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
	text := "limit " + decimal(ar.Limit.PerSecond) + " a second and " +
		decimal(ar.Limit.Burst) + " at once for all hosts together; this host has " + strconv.Itoa(ar.Tokens) +
		" tokens left and received " + strconv.FormatFloat(ar.Demand, 'f', 1, 64) + " requests in the last second"
	if !ar.RefusedUntil.IsZero() {
		text += "; tokens are likely in " + ar.RefusedUntil.Sub(now).Round(time.Millisecond).String()
	}
	return text + "; the caller was told to come back in " + re.RetryAfter.Sub(now).Round(time.Millisecond).String()
}

// admitQuota takes a token before the first claim of a keyed call, or refuses the call. A
// repeat, whose claim will fail, gives the token back when it is answered.
func (ke *keyedCall) admitQuota(row keyed.Row) bool {
	ex := ke.exchange
	if ke.quotaAsked || row.State != keyed.RowClaimed {
		return true
	}
	ke.quotaAsked = true
	ad := admission{
		target:   ex.target,
		config:   ex.view.Config,
		customer: ex.customer,
		onBehalf: ex.onBehalf,
	}
	token, retryAfter, ok := ex.server.takeToken(&ad)
	ex.token = token
	if ok || ke.isRepeat() {
		return true
	}
	ke.quotaRefused = true
	re := notRunResult(ReasonQuota)
	re.RetryAfter = retryAfter
	ex.server.recordQuotaRefusal(ex.httpCtx, &ad, ex.view.Config, ex.callID, re)
	ke.sendAnswer(&keyedAnswer{answer: call.Respond{Result: re}})
	return false
}

// isRepeat reports whether the table has a row of the call, so that it does not run again.
func (ke *keyedCall) isRepeat() bool {
	re, err := ke.exchange.server.cfg.KeyStore.Read(ke.context, ke.key)
	if err != nil {
		return false // without a token, the call may only run if it has run before
	}
	return rowStates[re.State] == keyed.RowClaimed || rowStates[re.State] == keyed.RowFinished
}
