package caller

import (
	"bytes"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/io/operator/record"
)

// Reasons for refusing requests without the key of a customer.
const (
	ReasonCustomerKeyMissing   host.Reason = "customer_key_missing"
	ReasonCustomerKeyMalformed host.Reason = "customer_key_malformed"
	ReasonCustomerKeyUnknown   host.Reason = "customer_key_unknown"
)

const (
	// HeaderCustomer tells the upstream the customer that a request is made for.
	HeaderCustomer = "Lynxfold-Customer"
	// bearerScheme is the authentication scheme of keys.
	bearerScheme = "Bearer"
	// keyRefusalsPerSecond and keyRefusalBurst bound the log lines and records of refused
	// keys, so that guessing keys does not displace others.
	keyRefusalsPerSecond = 5
	keyRefusalBurst      = 20
)

// admission is what has been decided about a request when its header had been read.
type admission struct {
	target *contract.Target
	// config is the configuration by which it was decided.
	config *contract.Snapshot
	// customer is the one that the request is made for; its name is empty if there is
	// none.
	customer contract.Customer
	// onBehalf reports that a running request makes the call, whose customer it takes.
	onBehalf bool
	// hasKeys reports that the configuration has customers, so that Authorization is not
	// forwarded.
	hasKeys bool
	// token is what the request has taken of its customer's quota.
	token quotaToken
	// quotaWait is how long the request waited for the token.
	quotaWait time.Duration
}

// admitCustomer determines the customer of a request by the configuration of a view. It
// returns the reason for refusing the request, or none.
func (sv *Server) admitCustomer(he *fasthttp.RequestHeader, vi *datacentre.View, ta *contract.Target) (admission, host.Reason) {
	ad := admission{
		target:  ta,
		config:  vi.Config,
		hasKeys: vi.Config.HasCustomers(),
	}
	if !ad.hasKeys {
		return ad, host.ReasonNone
	}
	key, re := bearerKey(he)
	if re == host.ReasonNone {
		if cu, ok := vi.Config.CustomerByKey(key); ok {
			ad.customer = cu
			return ad, host.ReasonNone
		}
		re = ReasonCustomerKeyUnknown
	}
	if re == ReasonCustomerKeyMissing {
		var name contract.CustomerName
		if name, ad.onBehalf = sv.parentCustomer(he); ad.onBehalf {
			ad.customer = customerOf(vi.Config, name)
			return ad, host.ReasonNone
		}
	}
	if ta.Route.Public {
		return ad, host.ReasonNone
	}
	return ad, re
}

// customerOf returns a customer by its name. The customer of a running request may have
// been removed since; the calls of the request are then still made on its behalf.
func customerOf(sn *contract.Snapshot, name contract.CustomerName) contract.Customer {
	if cu, ok := sn.Customer(name); ok {
		return cu
	}
	return contract.Customer{Name: name}
}

// parentCustomer returns the customer of the request that makes this one, and reports
// whether this host's gate runs that request now.
func (sv *Server) parentCustomer(he *fasthttp.RequestHeader) (contract.CustomerName, bool) {
	for _, id := range sv.cfg.Protocol.ParentIDs(he) {
		if name, running := sv.cfg.LocalGate.RunningCustomer(id); running {
			return name, true
		}
	}
	return "", false
}

// bearerKey returns the key in the Authorization header, or the reason why there is none.
// The scheme is case-insensitive; several headers are malformed.
func bearerKey(he *fasthttp.RequestHeader) ([]byte, host.Reason) {
	values := he.PeekAll(fasthttp.HeaderAuthorization)
	switch len(values) {
	case 0:
		return nil, ReasonCustomerKeyMissing
	case 1:
		return parseBearer(values[0])
	}
	return nil, ReasonCustomerKeyMalformed
}

func parseBearer(value []byte) ([]byte, host.Reason) {
	value = bytes.Trim(value, " \t")
	if len(value) == 0 {
		return nil, ReasonCustomerKeyMissing
	}
	scheme, key, _ := bytes.Cut(value, []byte(" "))
	key = bytes.TrimLeft(key, " \t")
	if !bytes.EqualFold(scheme, []byte(bearerScheme)) || len(key) == 0 {
		return nil, ReasonCustomerKeyMalformed
	}
	return key, host.ReasonNone
}

// refuseKey refuses a request without a known key. Beyond a rate, refusals are only
// counted.
func (sv *Server) refuseKey(ctx *fasthttp.RequestCtx, vi *datacentre.View, ta *contract.Target, re host.Reason) {
	sv.refuse(ctx, fasthttp.StatusUnauthorized, notRunResult(re))
	ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, bearerScheme)
	id := sv.formatCallID(sv.lastCallNumber.Add(1))
	ctx.Response.Header.Set(HeaderCallID, string(id))
	now := time.Now()
	if !sv.keyRefusals.AllowN(now, 1) {
		return
	}
	sv.cfg.Log.Warn().
		Str("event", "key_refused").
		Str("request", sv.cfg.Protocol.RequestID(&ctx.Request.Header)).
		Str("call", string(id)).
		Str("route", string(ta.Route.Name)).
		Str("reason", string(re)).
		Uint64("config_version", uint64(vi.Config.Version)).
		Msg("request was refused without a known key")
	if sv.cfg.Recorder == nil {
		return
	}
	sv.cfg.Recorder.AddCall(record.Entry{
		At:      now,
		Kind:    record.KindRefused,
		Call:    id,
		Route:   ta.Route.Name,
		Service: ta.Route.Service,
		Version: vi.Config.Version,
		Outcome: string(notRunResult(re).Outcome),
		Reason:  string(re),
	})
}

// finishUnauthorized finishes a request that was refused for its key. It skips a short
// body, so that the requests behind it on the connection are answered.
func (se *session) finishUnauthorized(pr *pendingRequest) bool {
	rq := &pr.httpCtx.Request
	if length := rq.Header.ContentLength(); length > maxBufferedBodyBytes || rq.MayContinue() {
		return se.finishUnread(pr)
	} else if length > 0 || length == -1 {
		_ = se.conn.SetReadDeadline(time.Now().Add(se.server.headerTimeout()))
		if !se.skipBody(rq) {
			return se.finishUnread(pr)
		}
	}
	se.finish(pr)
	return true
}

// skipBody reads a short body, and returns false if there is more of it.
func (se *session) skipBody(rq *fasthttp.Request) bool {
	if err := rq.ContinueReadBodyStream(se.reader, bodyPrefetchBytes, false); err != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(rq.BodyStream(), maxBufferedBodyBytes+1))
	return err == nil && n <= maxBufferedBodyBytes
}
