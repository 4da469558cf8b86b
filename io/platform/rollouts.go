package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/rollout"
)

// rolloutPrefix is the prefix of the rows with what lynxfold itself remembers of orders,
// one for each service. They are written in the same transactions as the status rows.
const rolloutPrefix Key = "rollouts/"

// maxWriteRounds bounds the reads and writes of one change of a status row.
const maxWriteRounds = 4

// Order is an operator's order to move a service to a release.
type Order struct {
	Service contract.ServiceName
	// ID is the version of the order's row.
	ID       rollout.OrderID
	Release  host.Release
	Duration time.Duration
}

// RolloutProtocol is what differs between platforms in the rows about roll-outs.
type RolloutProtocol interface {
	// OrderPrefix returns the prefix of the rows of orders; empty if orders are not written
	// through lynxfold.
	OrderPrefix() Key
	// StatusKey returns the key of the status row of a service.
	StatusKey(name contract.ServiceName) Key
	// EncodeStatus returns the value of a status row.
	EncodeStatus(st rollout.Status) (json.RawMessage, error)
	// Now returns the time on the store's clock.
	Now() time.Time
}

// Rollouts reads and writes the outcomes of orders.
type Rollouts struct {
	// OnUnreadable is called with the rows of orders that can't be read. It may be nil, and
	// is set before the first read.
	OnUnreadable func(key Key, err error)

	store    Store
	protocol RolloutProtocol
}

// NewRollouts returns the store of outcomes on top of a Store.
func NewRollouts(st Store, rp RolloutProtocol) *Rollouts {
	return &Rollouts{
		store:    st,
		protocol: rp,
	}
}

// NativeRollouts implements RolloutProtocol with rows of lynxfold's own.
type NativeRollouts struct{}

// nativeStatusPrefix and nativeOrderPrefix are the prefixes of the status rows and of the
// orders, one for each service.
const (
	nativeStatusPrefix Key = "rollout_status/"
	nativeOrderPrefix  Key = "rollout_orders/"
)

// OrderPrefix implements RolloutProtocol.
func (NativeRollouts) OrderPrefix() Key { return nativeOrderPrefix }

// StatusKey implements RolloutProtocol.
func (NativeRollouts) StatusKey(name contract.ServiceName) Key { return nativeStatusPrefix + Key(name) }

// EncodeStatus implements RolloutProtocol.
func (NativeRollouts) EncodeStatus(st rollout.Status) (json.RawMessage, error) {
	return json.Marshal(struct {
		State   string       `json:"state"`
		Release host.Release `json:"release"`
	}{
		State:   RolloutState(st.Phase),
		Release: st.Release,
	})
}

// Now implements RolloutProtocol. The native store states no time, so that the clocks of
// hosts must agree to the second.
func (NativeRollouts) Now() time.Time { return time.Now() }

// rolloutRow is the value of a row of lynxfold's own.
type rolloutRow struct {
	Order   rollout.OrderID `json:"order"`
	Release host.Release    `json:"release"`
	State   string          `json:"state"`
	// OrderedUnixMS is the time of the order on the store's clock.
	OrderedUnixMS int64 `json:"ordered_unix_ms"`
}

// RolloutPhase returns the phase that a name of a state stands for; 0 when it is unknown.
// An order that runs is in PhaseCanary as far as the store is concerned.
func RolloutPhase(state string) rollout.Phase {
	for ph, name := range stateNames {
		if name == state {
			return ph
		}
	}
	return 0
}

// stateNames are the names of the states in rows.
var stateNames = map[rollout.Phase]string{
	rollout.PhaseCanary:     "running",
	rollout.PhaseCompleted:  "completed",
	rollout.PhaseRolledBack: "rolled_back",
}

// RolloutState returns the name of the state that the rows have for a phase.
func RolloutState(ph rollout.Phase) string {
	if ph.Final() {
		return stateNames[ph]
	}
	return stateNames[rollout.PhaseCanary]
}

// storedRollout is the state of the rows of one service.
type storedRollout struct {
	own    rolloutRow
	known  bool
	writes []Write
}

// read reads both rows, and prepares the writes that replace them if neither has changed.
func (rs *Rollouts) read(ctx context.Context, name contract.ServiceName) (storedRollout, error) {
	sr := storedRollout{}
	for _, key := range []Key{rolloutPrefix + Key(name), rs.protocol.StatusKey(name)} {
		write := Write{Key: key}
		ro, err := rs.store.Read(ctx, key)
		var missing *NotFoundError
		switch {
		case errors.As(err, &missing):
			write.IfAbsent = true
		case err != nil:
			return sr, err
		default:
			write.IfMatch = ro.ETag
			if len(sr.writes) == 0 {
				sr.known = json.Unmarshal(ro.Value, &sr.own) == nil
			}
		}
		sr.writes = append(sr.writes, write)
	}
	return sr, nil
}

// Lookup returns the record of an order that was read from the store: its outcome if it
// has one, and its age if the store remembers it.
func (rs *Rollouts) Lookup(ctx context.Context, or Order) (rollout.Record, error) {
	sr, err := rs.read(ctx, or.Service)
	if err != nil {
		return rollout.Record{}, err
	}
	now := time.Now()
	re := rollout.Record{
		Service:   or.Service,
		Order:     or.ID,
		Release:   or.Release,
		Phase:     rollout.PhaseCanary,
		OrderedAt: now,
		Reason:    rollout.ReasonOrdered,
	}
	if sr.known && sr.own.Order == or.ID {
		if age := rs.protocol.Now().Sub(time.UnixMilli(sr.own.OrderedUnixMS)); age > 0 {
			re.OrderedAt = now.Add(-age)
		}
		if ph := RolloutPhase(sr.own.State); ph.Final() {
			re.Phase = ph
			re.Reason = rollout.ReasonStatusRow
			re.Confirmed = true
		}
	}
	re.Deadline = re.OrderedAt.Add(or.Duration)
	return re, nil
}

// Write makes the status row say what a record says, unless it is about a later order or
// says already that this one has ended. It returns what the row says then. Two hosts that
// decide at once, and a write whose reply is lost, are resolved by reading again.
func (rs *Rollouts) Write(ctx context.Context, re rollout.Record) (rollout.Status, error) {
	var err error
	for range maxWriteRounds {
		var sr storedRollout
		if sr, err = rs.read(ctx, re.Service); err != nil {
			return rollout.Status{}, err
		}
		if sr.known && sr.own.Order >= re.Order {
			ph := RolloutPhase(sr.own.State)
			if sr.own.Order > re.Order || ph.Final() || !re.Phase.Final() {
				return rollout.Status{Order: sr.own.Order, Release: sr.own.Release, Phase: ph}, nil
			}
		}
		st := rollout.Status{Order: re.Order, Release: re.Release, Phase: re.Phase}
		if err = rs.transact(ctx, sr, re); err == nil {
			return st, nil
		}
		var (
			conflict *ConflictError
			doubt    *InDoubtError
		)
		if !errors.As(err, &conflict) && !errors.As(err, &doubt) {
			return rollout.Status{}, err
		}
	}
	return rollout.Status{}, err
}

func (rs *Rollouts) transact(ctx context.Context, sr storedRollout, re rollout.Record) error {
	status, err := rs.protocol.EncodeStatus(rollout.Status{Order: re.Order, Release: re.Release, Phase: re.Phase})
	if err != nil {
		return err
	}
	sr.writes[0].Value = mustJSON(rolloutRow{
		Order:         re.Order,
		Release:       re.Release,
		State:         RolloutState(re.Phase),
		OrderedUnixMS: rs.protocol.Now().Add(-time.Since(re.OrderedAt)).UnixMilli(),
	})
	sr.writes[1].Value = status
	_, err = rs.store.Transact(ctx, sr.writes)
	return err
}
