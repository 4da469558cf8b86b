package upstream

import (
	"math"
	"time"

	"github.com/rs/zerolog"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// PeerNoticeFromWire returns the notice in a message that arrived at now.
func PeerNoticeFromWire(un *wire.UpstreamNotice, now time.Time) host.PeerNotice {
	if un == nil {
		return host.PeerNotice{}
	}
	no := host.PeerNotice{Process: host.ProcessID(un.GetProcess())}
	if un.GetRateLimited() && un.GetRateLimit() >= 0 {
		no.RateLimit = host.RateLimit{
			Limited:   true,
			PerSecond: host.RequestRate(un.GetRateLimit()),
		}
	}
	if un.GetLeaving() {
		no.LeavingSince = now.Add(-time.Duration(un.GetLeavingForUs()) * time.Microsecond)
	}
	return no
}

// PeerNoticeToWire returns the message for a notice that is sent at now; nil when the
// upstream states nothing.
func PeerNoticeToWire(no host.PeerNotice, now time.Time) *wire.UpstreamNotice {
	if !no.RateLimit.Limited && no.LeavingSince.IsZero() {
		return nil
	}
	un := &wire.UpstreamNotice{
		Process:     uint64(no.Process),
		RateLimited: no.RateLimit.Limited,
		RateLimit:   float64(no.RateLimit.PerSecond),
	}
	if !no.LeavingSince.IsZero() {
		un.Leaving = true
		un.LeavingForUs = now.Sub(no.LeavingSince).Microseconds()
	}
	return un
}

// noticeReceived passes what a response states to the gate; sentAt is when its request
// was sent.
func (ga *Gate) noticeReceived(no host.Notice, sentAt time.Time) {
	ga.reportUnreadable(no)
	ga.step(host.Noticed{
		SentAt: sentAt,
		Notice: no,
	})
	ga.reportLeaving()
}

// reportUnreadable counts a rate limit that can't be read, and logs it unless it is the
// same as the last one.
func (ga *Gate) reportUnreadable(no host.Notice) {
	if no.UnreadableLimit == "" {
		return
	}
	if ga.cfg.OnUnreadableLimit != nil {
		ga.cfg.OnUnreadableLimit()
	}
	ga.mu.Lock()
	repeated := ga.lastUnreadableLimit == no.UnreadableLimit
	ga.lastUnreadableLimit = no.UnreadableLimit
	ga.mu.Unlock()
	if repeated {
		return
	}
	ga.cfg.Log.Warn().
		Str("event", "upstream_limit_unreadable").
		Str("text", no.UnreadableLimit[:min(len(no.UnreadableLimit), maxLoggedText)]).
		Msg("rate limit in a response is not a number of requests; the former limit stays in force")
}

// maxLoggedText is the maximum length of a header value in a log line, in bytes.
const maxLoggedText = 64

// reportLeaving reports that a response has stated that the upstream is leaving, if this
// has not been reported yet.
func (ga *Gate) reportLeaving() {
	ga.mu.Lock()
	pending := ga.leavingUnreported
	ga.leavingUnreported = false
	an := ga.core.Upstream()
	ga.mu.Unlock()
	if pending {
		ga.reportChange(an)
	}
}

// logRateLimit logs a change of the upstream's rate limit; ga.mu is held.
func (ga *Gate) logRateLimit(ac host.RateLimitChanged) {
	up := ga.core.Upstream()
	ga.cfg.Log.Info().
		Str("event", "upstream_limit_changed").
		Str("service", string(up.Service)).
		Str("instance", string(up.Instance)).
		Object("before", loggedLimit(ac.Before)).
		Object("after", loggedLimit(ac.After)).
		Msg("rate limit of this host's upstream has changed")
}

// loggedLimit adds the fields of a rate limit to a log line.
type loggedLimit host.RateLimit

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (li loggedLimit) MarshalZerologObject(ev *zerolog.Event) {
	ev.Bool("limited", li.Limited)
	if li.Limited {
		ev.Float64("requests_per_second", float64(li.PerSecond))
	}
}

// RateLimitGauge returns the upstream's rate limit in requests per second; +Inf when it
// states none.
func (ga *Gate) RateLimitGauge() float64 {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if li := ga.core.RateLimit(); li.Limited {
		return float64(li.PerSecond)
	}
	return math.Inf(1)
}
