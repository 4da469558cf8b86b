package upstream

import (
	"encoding/binary"
	"hash/fnv"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lynxfold/core/host"
	"lynxfold/core/quarantine"
	"lynxfold/core/wire"
)

// Quarantine holds what this host knows of requests that crash upstreams. The ingress and
// the gate share it. It is safe for concurrent use; nil knows nothing.
type Quarantine struct {
	cfg QuarantineConfig

	// suspects reports whether any request is suspected, so that calls need no lock
	// while none is.
	suspects atomic.Bool
	mu       sync.Mutex
	table    *quarantine.Table
}

// QuarantineConfig configures a Quarantine.
type QuarantineConfig struct {
	Core quarantine.Config
	// OnNews is called with what this host finds out or learns with calls, to be passed on
	// to other hosts; it may be nil.
	OnNews func(ne quarantine.News)
}

// NewQuarantine returns a quarantine that knows nothing.
func NewQuarantine(cfg QuarantineConfig) *Quarantine {
	return &Quarantine{
		cfg:   cfg,
		table: quarantine.New(cfg.Core),
	}
}

// Admit returns the decision about a request that a caller has sent to this host.
func (qu *Quarantine) Admit(fp host.Fingerprint) quarantine.Verdict {
	if qu == nil || !qu.suspects.Load() {
		return quarantine.Verdict{}
	}
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.table.Admit(fp, time.Now())
}

// Verdict returns the decision about a further attempt, or one that the gate receives.
func (qu *Quarantine) Verdict(fp host.Fingerprint) quarantine.Verdict {
	if qu == nil || !qu.suspects.Load() {
		return quarantine.Verdict{}
	}
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.table.Verdict(fp, time.Now())
}

// refuseRun returns the refusal of a request that is about to run on this host's upstream;
// there is none if it may run.
func (qu *Quarantine) refuseRun(fp host.Fingerprint) Reply {
	if qu == nil || !qu.suspects.Load() {
		return Reply{}
	}
	now := time.Now()
	qu.mu.Lock()
	defer qu.mu.Unlock()
	ve := qu.table.Run(fp, now)
	if ve.State != quarantine.StateQuarantined {
		return Reply{}
	}
	re := RefusalReply(host.ReasonQuarantined, true)
	re.Refusal.RetryAfterUs = max(1, ve.Until.Sub(now).Microseconds())
	re.Refusal.Crashes = quarantine.CrashesToWire(qu.table.Evidence(fp), now)
	return re
}

// Evidence returns the crashes that a request may have caused, to be sent with it or with
// its refusal.
func (qu *Quarantine) Evidence(fp host.Fingerprint) []*wire.Crash {
	if qu == nil || !qu.suspects.Load() {
		return nil
	}
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return quarantine.CrashesToWire(qu.table.Evidence(fp), time.Now())
}

// Learn adds the crashes that a request or its refusal names.
func (qu *Quarantine) Learn(crashes []*wire.Crash) {
	if qu == nil || len(crashes) == 0 {
		return
	}
	qu.report(quarantine.News{Crashes: quarantine.CrashesFromWire(crashes, time.Now())})
}

// RecordCrash adds the crash of this host's upstream.
func (qu *Quarantine) RecordCrash(uc host.UpstreamCrashed) {
	if qu == nil || len(uc.Suspects) == 0 {
		return
	}
	qu.report(quarantine.News{
		Crashes: []quarantine.Crash{
			{
				ID:       qu.crashID(uc),
				Host:     qu.cfg.Core.Host,
				At:       time.Now(),
				Suspects: uc.Suspects,
			},
		},
	})
}

// quarantineState returns how a gate runs a request.
func quarantineState(ve quarantine.Verdict) host.QuarantineState {
	return host.QuarantineState{
		Isolated: ve.State == quarantine.StateIsolated,
		Until:    ve.Until,
	}
}

// crashID returns the ID of the crash of a process of this host's upstream.
func (qu *Quarantine) crashID(uc host.UpstreamCrashed) quarantine.CrashID {
	ha := fnv.New64a()
	_, _ = ha.Write([]byte(qu.cfg.Core.Host))
	var process [8]byte
	binary.BigEndian.PutUint64(process[:], uint64(uc.Process))
	_, _ = ha.Write(process[:])
	_, _ = ha.Write(strconv.AppendInt(nil, uc.Since.UnixNano(), 10))
	return quarantine.CrashID(ha.Sum64())
}

// RecordSurvival records that this host's upstream has answered a request.
func (qu *Quarantine) RecordSurvival(fp host.Fingerprint) {
	if qu == nil || fp == 0 || !qu.suspects.Load() {
		return
	}
	now := time.Now()
	qu.mu.Lock()
	suspected := qu.table.IsSuspected(fp)
	qu.mu.Unlock()
	if !suspected {
		return
	}
	qu.report(quarantine.News{
		Survivals: []quarantine.Survival{
			{
				Request: fp,
				At:      now,
			},
		},
	})
}

// Merge adds what other hosts have passed on.
func (qu *Quarantine) Merge(ne quarantine.News) {
	if qu != nil {
		qu.merge(ne)
	}
}

// report adds news and passes on the part that was not known.
func (qu *Quarantine) report(ne quarantine.News) {
	if fresh := qu.merge(ne); !fresh.IsEmpty() && qu.cfg.OnNews != nil {
		qu.cfg.OnNews(fresh)
	}
}

func (qu *Quarantine) merge(ne quarantine.News) quarantine.News {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	fresh := qu.table.Merge(ne, time.Now())
	qu.suspects.Store(!qu.table.IsEmpty())
	return fresh
}

// Expire forgets what happened long ago.
func (qu *Quarantine) Expire() {
	if qu == nil || !qu.suspects.Load() {
		return
	}
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.table.Expire(time.Now())
	qu.suspects.Store(!qu.table.IsEmpty())
}

// Quarantined returns the number of quarantined requests.
func (qu *Quarantine) Quarantined() int {
	if qu == nil || !qu.suspects.Load() {
		return 0
	}
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.table.Quarantined()
}
