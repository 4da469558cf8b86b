package datacentre

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/core/host"
	"lynxfold/core/quarantine"
	"lynxfold/core/wire"
)

// maxCrashesPerMessage bounds the crashes in one message, so that it is not queued behind
// configuration.
const maxCrashesPerMessage = 16

// maxSurvivalsPerMessage bounds the survivals in one message in the same way.
const maxSurvivalsPerMessage = 256

// maxCrashNewsPerTick bounds the messages with news of crashes that a peer is sent at once
// between two ticks. Further news waits for the next tick and is sent in few messages, so that
// it does not fill the queue of the link, which also carries configuration.
const maxCrashNewsPerTick = 16

// handleCrashNews merges news of crashes from a peer.
func (me *Member) handleCrashNews(cn *wire.CrashNews, from host.ID, now time.Time) {
	fresh := me.mergeCrashes(quarantine.NewsFromWire(cn, now), from, now)
	if !fresh.IsEmpty() {
		me.emit(LearnCrashes{News: fresh})
	}
}

// handleStoredCrashes merges the crashes that the platform's table holds.
func (me *Member) handleStoredCrashes(ne quarantine.News, now time.Time) {
	fresh := me.mergeCrashes(ne, "", now)
	if !fresh.IsEmpty() {
		me.emit(LearnCrashes{News: fresh})
	}
}

// mergeCrashes merges news of crashes, forwards the part that was not known to all linked
// peers except the sender, and returns it.
func (me *Member) mergeCrashes(ne quarantine.News, from host.ID, now time.Time) quarantine.News {
	known := me.crashes.Checksum()
	fresh := me.crashes.Merge(ne, now)
	if me.crashes.Checksum() != known {
		me.storeOwnCrashes()
	}
	for _, id := range me.peers() {
		if id != from {
			me.queueCrashNews(me.links[id], fresh, now)
		}
	}
	return fresh
}

// queueCrashNews sends news of crashes to a peer at once, or with the next tick if the peer was
// sent much since the last one.
func (me *Member) queueCrashNews(pe *peer, ne quarantine.News, now time.Time) {
	if pe.crashNewsSent < maxCrashNewsPerTick {
		me.sendCrashNews(pe, ne, now)
		return
	}
	pe.crashNews.Crashes = append(pe.crashNews.Crashes, ne.Crashes...)
	pe.crashNews.Survivals = append(pe.crashNews.Survivals, ne.Survivals...)
}

// flushCrashNews sends the news of crashes that waited for the tick.
func (me *Member) flushCrashNews(now time.Time) {
	for _, id := range me.peers() {
		pe := me.links[id]
		pe.crashNewsSent = 0
		me.sendCrashNews(pe, pe.crashNews, now)
		pe.crashNews = quarantine.News{}
	}
}

// storeOwnCrashes writes the crashes of quarantined requests to the platform if this host's
// upstream was among those that crashed.
func (me *Member) storeOwnCrashes() {
	ne := me.crashes.Condemned()
	if slices.ContainsFunc(ne.Crashes, func(cr quarantine.Crash) bool { return cr.Host == me.cfg.Host }) {
		me.emit(StoreCrashes{
			DataCentre: me.cfg.DataCentre,
			News:       ne,
		})
	}
}

// sendMissingCrashes sends the crashes of quarantined requests to a peer whose checksum of
// them differs. The peer may have missed news that was sent on a link that went silent.
func (me *Member) sendMissingCrashes(pe *peer, checksum uint64, now time.Time) {
	me.resyncBudget.refill(now)
	if checksum == me.crashes.Checksum() || me.resyncBudget.tokens <= 0 {
		return
	}
	ne := me.crashes.Condemned()
	me.resyncBudget.tokens -= float64(proto.Size(ne.ToWire(now)))
	me.sendCrashNews(pe, ne, now)
}

// sendCrashNews sends news of crashes to a peer that reads it.
func (me *Member) sendCrashNews(pe *peer, ne quarantine.News, now time.Time) {
	if !pe.acceptsCrashNews || ne.IsEmpty() {
		return
	}
	var parts []quarantine.News
	for chunk := range slices.Chunk(ne.Survivals, maxSurvivalsPerMessage) {
		parts = append(parts, quarantine.News{Survivals: chunk})
	}
	for chunk := range slices.Chunk(ne.Crashes, maxCrashesPerMessage) {
		parts = append(parts, quarantine.News{Crashes: chunk})
	}
	for _, part := range parts {
		me.send(pe.id, &wire.Control{Kind: &wire.Control_CrashNews{CrashNews: part.ToWire(now)}})
	}
	pe.crashNewsSent += len(parts)
}
