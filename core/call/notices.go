package call

import (
	"time"

	"lynxfold/core/host"
)

// noticeKeepTime is how long a notice is kept after it was last heard. An upstream that
// is leaving is gone long before.
const noticeKeepTime = 5 * time.Minute

// notices holds what responses have stated about the upstreams that they came from, by
// host. It outlives the upstreams in the view, because the requests of this node tell it
// to gates that have lost it in a restart.
type notices map[host.ID]heardNotice

// heardNotice is a notice and when it was last heard.
type heardNotice struct {
	notice  host.PeerNotice
	heardAt time.Time
}

// record stores the notice of a response from a host's upstream to an attempt that was
// sent at sentAt. A response to an attempt from before the notice was last heard, which
// may have been formed before it, does not delete it.
func (ns notices) record(id host.ID, no host.PeerNotice, sentAt, now time.Time) {
	known, found := ns[id]
	if no == (host.PeerNotice{}) {
		if !sentAt.Before(known.heardAt) {
			delete(ns, id)
		}
		return
	}
	if found && known.notice.Process == no.Process && !known.notice.LeavingSince.IsZero() {
		no.LeavingSince = known.notice.LeavingSince
	}
	if !found {
		ns.removeExpired(now)
	}
	ns[id] = heardNotice{
		notice:  no,
		heardAt: now,
	}
}

func (ns notices) removeExpired(now time.Time) {
	for id, he := range ns {
		if now.Sub(he.heardAt) >= noticeKeepTime {
			delete(ns, id)
		}
	}
}

// of returns what is known of the upstream of a host.
func (ns notices) of(id host.ID, now time.Time) host.PeerNotice {
	he := ns[id]
	if now.Sub(he.heardAt) >= noticeKeepTime {
		return host.PeerNotice{}
	}
	return he.notice
}
