package upstream

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// Query returns the fate of an attempt. If the gate has not seen the attempt,
// it refuses the attempt should it arrive later. The query can also ask to cancel
// the attempt, to wait until a running one ends, or both.
func (ga *Gate) Query(ctx context.Context, qu *wire.Query) *wire.Verdict {
	id := host.AttemptID(qu.GetAttempt())
	if qu.GetWithdraw() {
		ga.step(host.Cancelled{ID: id})
	}
	aq := ga.awaitFate(ctx, host.Queried{
		ID:          id,
		Incarnation: host.Incarnation(qu.GetIncarnation()),
		WaitUntil:   waitUntil(qu),
	})
	ve := &wire.Verdict{Fate: wireFates[aq.Fate]}
	switch aq.Fate {
	case host.FateFinished:
		ga.mu.Lock()
		ve.Response = proto.CloneOf(ga.keptResponses[id])
		no := ga.core.PeerNotice()
		ga.mu.Unlock()
		if ve.Response == nil {
			ve.Fate = wire.Fate_FATE_ANSWER_LOST
			break
		}
		ve.Response.Notice = PeerNoticeToWire(no, time.Now())
	case host.FateRefused, host.FateBroken, host.FateUnknown, host.FateNeverSeen:
		ve.Refusal = &wire.Refusal{
			Reason: string(aq.Reason),
			NotRun: aq.Fate.Outcome() == host.OutcomeNotRun,
		}
	case host.FateRunning, host.FateAnswerLost:
	}
	return ve
}

func waitUntil(qu *wire.Query) time.Time {
	if !qu.GetWait() {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(qu.GetRemainingUs()) * time.Microsecond)
}

// awaitFate submits a query to the gate and waits for the result.
func (ga *Gate) awaitFate(ctx context.Context, ev host.Queried) host.AnswerQuery {
	ch := make(chan host.AnswerQuery, 1)
	ga.mu.Lock()
	ga.lastQueryID++
	ev.Query = ga.lastQueryID
	ga.queries[ev.Query] = ch
	ga.stepLocked(ev)
	ga.mu.Unlock()
	defer func() {
		ga.mu.Lock()
		delete(ga.queries, ev.Query)
		ga.mu.Unlock()
	}()
	select {
	case aq := <-ch:
		return aq
	case <-ctx.Done():
		return host.AnswerQuery{
			ID:   ev.ID,
			Fate: host.FateRunning,
		}
	}
}

// wireFates maps the fate of an attempt to its wire value.
var wireFates = map[host.Fate]wire.Fate{
	host.FateUnknown:    wire.Fate_FATE_UNKNOWN,
	host.FateNeverSeen:  wire.Fate_FATE_NEVER_SEEN,
	host.FateRunning:    wire.Fate_FATE_RUNNING,
	host.FateFinished:   wire.Fate_FATE_FINISHED,
	host.FateAnswerLost: wire.Fate_FATE_ANSWER_LOST,
	host.FateBroken:     wire.Fate_FATE_BROKEN,
	host.FateRefused:    wire.Fate_FATE_REFUSED,
}

// FateFromWire returns the fate for a wire value; host.FateUnknown for unknown values.
func FateFromWire(wf wire.Fate) host.Fate {
	for fa, known := range wireFates {
		if known == wf {
			return fa
		}
	}
	return host.FateUnknown
}
