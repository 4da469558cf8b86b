package node

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"lynxfold/core/wire"
)

// Direction is the direction of a control message.
type Direction string

// Directions of control messages.
const (
	DirectionIn  Direction = "in"
	DirectionOut Direction = "out"
)

// ClosedReason is why a control link was closed.
type ClosedReason string

// Reasons for closed control links.
const (
	ClosedByPeer ClosedReason = "by_peer"
	// ClosedSilent: the peer stopped responding to probes.
	ClosedSilent ClosedReason = "silent"
	// ClosedPeerRestarted: the peer opened a link with another incarnation.
	ClosedPeerRestarted ClosedReason = "replaced"
	// ClosedDuplicate: more than maxSessions links to the peer were open.
	ClosedDuplicate ClosedReason = "duplicate"
	// ClosedSlowPeer: the send queue for small messages was full.
	ClosedSlowPeer ClosedReason = "slow_peer"
	// ClosedOnPurpose: this node closed a link that it no longer needs.
	ClosedOnPurpose ClosedReason = "on_purpose"
	ClosedBadFrame  ClosedReason = "bad_frame"
	ClosedShutdown  ClosedReason = "shutdown"
)

// Counters are the metrics of the connections between nodes.
type Counters struct {
	set *metrics.Set
	// messages caches the messageCounters of each messageKey.
	messages sync.Map
}

// messageKey is the map key of the counters of one kind and direction.
type messageKey struct {
	kind      string
	direction Direction
}

// messageCounters are the counters of one kind and direction.
type messageCounters struct {
	count *metrics.Counter
	bytes *metrics.Counter
}

// NewCounters builds counters that are registered in a metrics set.
func NewCounters(set *metrics.Set) *Counters { return &Counters{set: set} }

// kindOf returns the kind of a control message: its protobuf field name.
func kindOf(ms *wire.Control) string {
	mr := ms.ProtoReflect()
	field := mr.WhichOneof(mr.Descriptor().Oneofs().ByName("kind"))
	if field == nil {
		return "unknown"
	}
	return string(field.Name())
}

// message counts a message that was sent or received; its size is in bytes.
func (co *Counters) message(di Direction, ms *wire.Control, size int) {
	key := messageKey{
		kind:      kindOf(ms),
		direction: di,
	}
	found, ok := co.messages.Load(key)
	if !ok {
		labels := fmt.Sprintf(`{direction=%q,kind=%q}`, di, key.kind)
		found, _ = co.messages.LoadOrStore(key, &messageCounters{
			count: co.set.GetOrCreateCounter("lynxfold_control_messages_total" + labels),
			bytes: co.set.GetOrCreateCounter("lynxfold_control_bytes_total" + labels),
		})
	}
	mc, _ := found.(*messageCounters)
	mc.count.Inc()
	mc.bytes.Add(size)
}

// Refused counts a refused connection from another node.
func (co *Counters) Refused(reason RefusalReason) {
	co.inc("lynxfold_link_connections_refused_total", "reason", string(reason))
}

func (co *Counters) dialFailed(reason RefusalReason) {
	co.inc("lynxfold_link_dials_failed_total", "reason", string(reason))
}

func (co *Counters) closed(reason ClosedReason) {
	co.inc("lynxfold_links_closed_total", "reason", string(reason))
}

func (co *Counters) dropped(ms *wire.Control) {
	co.inc("lynxfold_control_messages_dropped_total", "kind", kindOf(ms))
}

// replacement counts a step in the replacement of a silent link.
func (co *Counters) replacement(outcome string) {
	co.inc("lynxfold_link_replacements_total", "outcome", outcome)
}

func (co *Counters) inc(name, label, value string) {
	co.set.GetOrCreateCounter(fmt.Sprintf(`%s{%s=%q}`, name, label, value)).Inc()
}
