package datacentre

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/core/host"
	"lynxfold/core/rollout"
	"lynxfold/core/wire"
)

// maxRolloutsPerMessage bounds the records in one message, so that it is not queued behind
// configuration.
const maxRolloutsPerMessage = 16

// handleRolloutNews merges records of roll-outs from a peer. A message that is not valid
// is noted.
func (me *Member) handleRolloutNews(rn *wire.RolloutNews, from host.ID, now time.Time) {
	var records []rollout.Record
	for _, wr := range rn.GetRollouts() {
		re, ok := rollout.RecordFromWire(wr, now)
		if !ok {
			me.note(NoteBadMessage, from, now)
			continue
		}
		records = append(records, re)
	}
	me.mergeRollouts(records, from, now)
}

// mergeRollouts merges records, and forwards those that supersede the known ones to all
// linked peers except the sender.
func (me *Member) mergeRollouts(records []rollout.Record, from host.ID, now time.Time) {
	fresh := me.rollouts.Merge(records)
	if len(fresh) == 0 {
		return
	}
	for _, id := range me.peers() {
		if id != from {
			me.sendRolloutNews(me.links[id], fresh, now)
		}
	}
	me.emit(LearnRollouts{Records: fresh})
}

// sendMissingRollouts sends all records to a peer whose checksum of them differs. The peer
// may have missed news that was sent on a link that went silent.
func (me *Member) sendMissingRollouts(pe *peer, checksum uint64, now time.Time) {
	me.resyncBudget.refill(now)
	if checksum == me.rollouts.Checksum() || me.resyncBudget.tokens <= 0 {
		return
	}
	me.resyncBudget.tokens -= float64(me.sendRolloutNews(pe, me.rollouts.All(), now))
}

// sendRolloutNews sends records to a peer that reads them, and returns their bytes.
func (me *Member) sendRolloutNews(pe *peer, records []rollout.Record, now time.Time) int {
	if !pe.acceptsRolloutNews {
		return 0
	}
	bytes := 0
	for chunk := range slices.Chunk(records, maxRolloutsPerMessage) {
		rn := &wire.RolloutNews{}
		for _, re := range chunk {
			rn.Rollouts = append(rn.Rollouts, re.ToWire(now))
		}
		bytes += proto.Size(rn)
		me.send(pe.id, &wire.Control{Kind: &wire.Control_RolloutNews{RolloutNews: rn}})
	}
	return bytes
}
