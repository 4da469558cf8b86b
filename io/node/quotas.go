package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/quota"
	"lynxfold/core/wire"
)

const (
	// quotaReplyTimeout limits the wait for one quota reply. Replies of busy hosts take 10 to
	// 50 ms.
	quotaReplyTimeout = 150 * time.Millisecond
	// maxQuotaWait limits the time that a call waits for tokens: two hosts that do not answer.
	maxQuotaWait = 2 * quotaReplyTimeout
	// minAskTime is the least time in which a reply can be expected.
	minAskTime = 20 * time.Millisecond
	// quotaTickInterval is the period of Quotas.Run; it must be shorter than the pauses that
	// the keeper detects.
	quotaTickInterval = 200 * time.Millisecond
)

// QuotaAsker sends quota requests to other nodes.
type QuotaAsker interface {
	AskQuota(address string, rq *wire.QuotaRequest, timeout time.Duration) (*wire.QuotaReply, error)
}

// QuotasConfig configures Quotas.
type QuotasConfig struct {
	Host      host.ID
	FleetSize int
	StartedAt time.Time
	// View returns the current view.
	View  func() *datacentre.View
	Asker QuotaAsker
	// Metrics is the set of the counters.
	Metrics *metrics.Set
}

// Quotas admits requests of customers within the limits that hold for all hosts together.
// It is safe for concurrent use.
type Quotas struct {
	cfg      QuotasConfig
	counters *quotaCounters

	mu      sync.Mutex
	ledger  *quota.Ledger
	keeper  *quota.Keeper
	waiters map[contract.CustomerName]chan struct{}
	probing map[host.ID]bool
	probes  sync.WaitGroup
}

// NewQuotas returns Quotas without tokens.
func NewQuotas(cfg QuotasConfig) *Quotas {
	return &Quotas{
		cfg:      cfg,
		counters: newQuotaCounters(cfg.Metrics),
		ledger:   quota.NewLedger(cfg.FleetSize),
		keeper: quota.NewKeeper(quota.KeeperConfig{
			Host:      cfg.Host,
			StartedAt: cfg.StartedAt,
			FleetSize: cfg.FleetSize,
		}),
		waiters: map[contract.CustomerName]chan struct{}{},
		probing: map[host.ID]bool{},
	}
}

// Run detects pauses of this process and changes of the mesh until the context ends.
func (qs *Quotas) Run(ctx context.Context) {
	ti := time.NewTicker(quotaTickInterval)
	defer ti.Stop()
	for {
		select {
		case <-ti.C:
			now := time.Now()
			qs.mu.Lock()
			qs.setHosts(now)
			qs.keeper.Tick(now)
			qs.mu.Unlock()
		case <-ctx.Done():
			qs.probes.Wait()
			return
		}
	}
}

// setHosts passes the hosts of the view on; qs.mu is held.
func (qs *Quotas) setHosts(now time.Time) {
	hl := qs.cfg.View().Hosts
	qs.ledger.SetHosts(hl)
	qs.keeper.SetHosts(hl, now)
}

// Admit takes a token for a request of a customer, and waits for one if necessary, at most
// about maxQuotaWait. When there is none, it returns when the caller should come back.
func (qs *Quotas) Admit(cu contract.CustomerName, li quota.Limit) (time.Time, bool) {
	begun := time.Now()
	now := begun
	for again := false; ; again = true {
		qs.mu.Lock()
		qs.setHosts(now)
		de := qs.ledger.Admit(cu, li, again, now)
		var wait chan struct{}
		switch {
		case de.Admission == quota.Wait && now.Sub(begun) >= maxQuotaWait:
			de = qs.ledger.Refuse(cu, li, now)
		case de.Admission == quota.Ask && now.Sub(begun) > maxQuotaWait-minAskTime:
			de = qs.ledger.Abandon(cu, li, now)
			qs.wake(cu)
		case de.Admission == quota.Wait:
			wait = qs.waiter(cu)
		}
		qs.mu.Unlock()
		switch de.Admission {
		case quota.Admitted:
			qs.counters.admitted.Inc()
			qs.observeWait(again, now.Sub(begun))
			return time.Time{}, true
		case quota.Refused:
			qs.counters.refused.Inc()
			qs.observeWait(again, now.Sub(begun))
			return de.RetryAt, false
		case quota.Wait:
			<-wait
		case quota.Ask:
			qs.ask(cu, de, min(quotaReplyTimeout, maxQuotaWait-now.Sub(begun)))
		}
		now = time.Now()
	}
}

func (qs *Quotas) observeWait(waited bool, took time.Duration) {
	if waited {
		qs.counters.wait.Update(took.Seconds())
	}
}

// waiter returns a channel that is closed when the request for tokens of a customer has
// ended; qs.mu is held.
func (qs *Quotas) waiter(cu contract.CustomerName) chan struct{} {
	wait := qs.waiters[cu]
	if wait == nil {
		wait = make(chan struct{})
		qs.waiters[cu] = wait
	}
	return wait
}

// ask asks for tokens and wakes the calls that wait for them.
func (qs *Quotas) ask(cu contract.CustomerName, de quota.Decision, timeout time.Duration) {
	sentAt := time.Now()
	re, err := qs.take(de.Host, de.Request, timeout)
	now := time.Now()
	qs.mu.Lock()
	defer qs.mu.Unlock()
	qs.counters.countAsk(de.Request, re, err)
	if err != nil {
		qs.ledger.TimedOut(cu, de.Host.ID, now)
		qs.keeper.MarkUnresponsive(de.Host.ID, errors.Is(err, syscall.ECONNREFUSED), now)
	} else {
		qs.ledger.Replied(cu, de.Host.ID, re, sentAt, now)
		qs.keeper.MarkResponsive(de.Host.ID)
	}
	qs.wake(cu)
}

// wake wakes the calls that wait for tokens of a customer; qs.mu is held.
func (qs *Quotas) wake(cu contract.CustomerName) {
	if wait := qs.waiters[cu]; wait != nil {
		delete(qs.waiters, cu)
		close(wait)
	}
}

// take sends a request to a host, or to the own keeper.
func (qs *Quotas) take(lh datacentre.LiveHost, rq quota.Request, timeout time.Duration) (quota.Reply, error) {
	if lh.ID == qs.cfg.Host {
		now := time.Now()
		qs.mu.Lock()
		defer qs.mu.Unlock()
		return qs.keeper.Take(rq, now), nil
	}
	re, err := qs.cfg.Asker.AskQuota(lh.Address, &wire.QuotaRequest{
		Customer:   string(rq.Customer),
		Version:    uint64(rq.Limit.Version),
		Tokens:     uint32(rq.Want),
		Returned:   uint32(rq.Returned),
		Host:       string(qs.cfg.Host),
		PerSecond:  rq.Limit.PerSecond,
		Burst:      rq.Limit.Burst,
		Unanswered: rq.Unanswered,
	}, timeout)
	if err != nil {
		return quota.Reply{}, err
	}
	out := quota.Reply{
		Granted:  int(re.GetGranted()),
		Declined: re.GetDeclined(),
	}
	if us := re.GetRetryAfterUs(); us > 0 {
		out.RetryAt = time.Now().Add(time.Duration(us) * time.Microsecond)
	}
	return out, nil
}

// maxTokensPerRequest limits the tokens of one request, so that a malformed one can't
// overflow.
const maxTokensPerRequest = 1 << 24

// Take implements QuotaKeeper.
func (qs *Quotas) Take(rq *wire.QuotaRequest) *wire.QuotaReply {
	now := time.Now()
	name := contract.CustomerName(rq.GetCustomer())
	qs.mu.Lock()
	defer qs.mu.Unlock()
	qs.setHosts(now)
	li := qs.newestLimit(name, rq)
	if li.Unlimited() {
		return &wire.QuotaReply{Granted: rq.GetTokens()}
	}
	re := qs.keeper.Take(quota.Request{
		Customer:   name,
		Limit:      li,
		Want:       int(min(rq.GetTokens(), maxTokensPerRequest)),
		Returned:   int(min(rq.GetReturned(), maxTokensPerRequest)),
		Unanswered: rq.GetUnanswered(),
	}, now)
	if re.Probe != "" {
		qs.startProbe(re.Probe)
	}
	out := &wire.QuotaReply{
		Granted:  uint32(re.Granted),
		Declined: re.Declined,
	}
	if !re.RetryAt.IsZero() {
		out.RetryAfterUs = max(1, re.RetryAt.Sub(now).Microseconds())
	}
	return out
}

// newestLimit returns the limit of the higher version: that of the asking host or of the
// own configuration.
func (qs *Quotas) newestLimit(name contract.CustomerName, rq *wire.QuotaRequest) quota.Limit {
	sn := qs.cfg.View().Config
	if cu, ok := sn.Customer(name); ok && uint64(sn.Version) >= rq.GetVersion() {
		return quota.LimitOf(sn, cu)
	}
	return quota.Limit{
		PerSecond: rq.GetPerSecond(),
		Burst:     rq.GetBurst(),
		Version:   contract.Version(rq.GetVersion()),
	}
}

// startProbe checks whether a host that others report as unresponsive answers; qs.mu is
// held.
func (qs *Quotas) startProbe(id host.ID) {
	lh, found := qs.cfg.View().Hosts.Find(id)
	if !found || qs.probing[id] {
		return
	}
	qs.probing[id] = true
	qs.probes.Go(func() {
		_, err := qs.take(lh, quota.Request{}, quotaReplyTimeout)
		qs.mu.Lock()
		defer qs.mu.Unlock()
		delete(qs.probing, id)
		qs.counters.countProbe(err)
		if err != nil {
			qs.keeper.MarkUnresponsive(id, errors.Is(err, syscall.ECONNREFUSED), time.Now())
			return
		}
		qs.keeper.MarkResponsive(id)
	})
}

// GiveBack returns the token of a request that was refused without having run.
func (qs *Quotas) GiveBack(cu contract.CustomerName) {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	qs.ledger.GiveBack(cu, time.Now())
	qs.counters.returned.Inc()
}

// maxReportedCustomers limits the customers of a survey's answer.
const maxReportedCustomers = 100

// CustomerUse returns the use of this host by customers with limits, the largest first.
func (qs *Quotas) CustomerUse() []*wire.CustomerUse {
	qs.mu.Lock()
	reports := qs.ledger.Report(time.Now())
	qs.mu.Unlock()
	slices.SortFunc(reports, func(a, b quota.AccountReport) int { return cmp.Compare(b.Demand, a.Demand) })
	var uses []*wire.CustomerUse
	for _, ar := range reports[:min(len(reports), maxReportedCustomers)] {
		uses = append(uses, &wire.CustomerUse{
			Customer:         string(ar.Customer),
			ServedPerSecond:  ar.Served,
			RefusedPerSecond: max(0, ar.Demand-ar.Served),
		})
	}
	return uses
}

// ReportOf returns the use of this host by one customer.
func (qs *Quotas) ReportOf(cu contract.CustomerName) quota.AccountReport {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	return qs.ledger.ReportOf(cu, time.Now())
}
