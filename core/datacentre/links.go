package datacentre

import (
	"maps"
	"slices"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/link"
	"lynxfold/core/quarantine"
	"lynxfold/core/wire"
)

// peer is the state of an established control link.
type peer struct {
	id host.ID
	// dialled is set if this node opened the link.
	dialled bool
	// acceptsPacked is set if the peer reads compressed deltas.
	acceptsPacked bool
	// acceptsCrashNews is set if the peer reads news of crashes.
	acceptsCrashNews bool
	// crashNews waits for the next tick; crashNewsSent counts the messages with such news that
	// the peer was sent since the last one.
	crashNews     quarantine.News
	crashNewsSent int
	// acceptsRolloutNews is set if the peer reads records of roll-outs.
	acceptsRolloutNews bool
	// closing is set once either end has announced that it closes the link.
	closing bool
	// version is the highest version that the peer is known to have.
	version contract.Version
	// activated is set while the peer reports that it has an active version.
	activated bool
	// floorAnswered is set once the peer has sent a Floor message.
	floorAnswered bool
	// refused is the version that the peer can't compile; 0 when there is none.
	refused contract.Version
	// pullBackoffUntil is until when no versions are pulled from the peer.
	pullBackoffUntil time.Time
	// noticeSentAt is when this node last sent the peer a notice.
	noticeSentAt time.Time
}

// dialState is the state of an address without a link.
type dialState struct {
	// host is empty for a contact whose host is unknown.
	host    host.ID
	backoff link.Backoff
	nextAt  time.Time
	// pending is set while a dial is in progress; it may be repeated after deadline.
	pending  bool
	deadline time.Time
	failures int
}

// addContact adds an address to the bootstrap contacts.
func (me *Member) addContact(address string) {
	if address != "" && address != me.cfg.Address && address != me.cfg.RemoteAddress {
		me.contacts[address] = true
	}
}

// addressOf returns the address at which this node reaches another host.
func (me *Member) addressOf(ho *wire.Host) string {
	if ho.GetDataCentre() != string(me.cfg.DataCentre) && ho.GetRemoteAddress() != "" {
		return ho.GetRemoteAddress()
	}
	return ho.GetAddress()
}

// dialStateOf returns the state of an address and creates it if necessary.
func (me *Member) dialStateOf(address string) *dialState {
	ds := me.dials[address]
	if ds == nil {
		ds = &dialState{
			backoff: link.Backoff{
				Base: me.cfg.DialBase,
				Cap:  me.cfg.DialCap,
			},
		}
		me.dials[address] = ds
	}
	return ds
}

// dialHost dials a host unless it is linked, being dialled or backing off.
func (me *Member) dialHost(id host.ID, now time.Time) {
	re := me.hosts[id]
	if re == nil || me.links[id] != nil {
		return
	}
	ds := me.dialStateOf(me.addressOf(re.host))
	ds.host = id
	me.dialAddress(me.addressOf(re.host), ds, now)
}

func (me *Member) dialAddress(address string, ds *dialState, now time.Time) {
	if ds.pending && now.Before(ds.deadline) || now.Before(ds.nextAt) || me.leaving {
		return
	}
	ds.pending = true
	ds.deadline = now.Add(dialTimeout)
	me.emit(Dial{Address: address})
}

// dialMissingLinks dials the desired hosts that are not linked, and contacts while
// there is no link.
func (me *Member) dialMissingLinks(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(me.desiredLinks)) {
		me.dialHost(id, now)
	}
	if len(me.links) == 0 {
		me.dialContacts(now)
	}
}

// dialContacts dials contacts in random order, with at most maxBootstrapDials dials in
// progress.
func (me *Member) dialContacts(now time.Time) {
	addresses := slices.Sorted(maps.Keys(me.contacts))
	me.cfg.Rand.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	pending := 0
	for _, ad := range addresses {
		ds := me.dialStateOf(ad)
		if ds.pending && now.Before(ds.deadline) {
			pending++
		}
		if pending >= maxBootstrapDials {
			return
		}
		if !ds.pending && !now.Before(ds.nextAt) {
			me.dialAddress(ad, ds, now)
			pending++
		}
	}
}

// rediscover dials a random address of a dead host or an unknown contact, at such a
// rate that all hosts together dial each about once per rediscoveryInterval. It finds
// restarted hosts and the other side of a partition while the platform is down.
func (me *Member) rediscover(now time.Time) {
	if now.Before(me.rediscoverAt) || me.leaving {
		return
	}
	pool := me.rediscoveryAddresses()
	if len(pool) == 0 {
		me.rediscoverAt = now.Add(rediscoveryInterval)
		return
	}
	span := max(rediscoveryInterval*time.Duration(me.liveHosts)/time.Duration(len(pool)), rediscoveryInterval/5)
	me.rediscoverAt = now.Add(span/2 + me.jitter(span))
	slices.Sort(pool)
	ad := pool[me.cfg.Rand.IntN(len(pool))]
	me.dialAddress(ad, me.dialStateOf(ad), now)
}

// rediscoveryAddresses returns the addresses of hosts that are dead or have left, and
// of contacts whose host is unknown.
func (me *Member) rediscoveryAddresses() []string {
	var pool []string
	for id := range me.tombstones {
		pool = append(pool, me.addressOf(me.hosts[id].host))
	}
	return slices.AppendSeq(pool, maps.Keys(me.unknownAmong(me.contacts)))
}

// unknownAmong returns those of the addresses whose host is unknown.
func (me *Member) unknownAmong(addresses map[string]bool) map[string]bool {
	if len(addresses) == 0 {
		return nil
	}
	unknown := maps.Clone(addresses)
	for _, re := range me.hosts {
		delete(unknown, re.host.GetAddress())
		delete(unknown, re.host.GetRemoteAddress())
	}
	delete(unknown, me.cfg.Address)
	delete(unknown, me.cfg.RemoteAddress)
	return unknown
}

// handleLinkOpened adds a peer, sends it its floor and forwards its record. A link that
// the peer opened is refused if it exceeds the join rate.
func (me *Member) handleLinkOpened(ev LinkOpened, now time.Time) {
	ho := ev.Hello.GetHost()
	id := host.ID(ho.GetId())
	if ds := me.dials[ev.Address]; ds != nil && ev.Address != "" {
		delete(me.dials, ev.Address)
	}
	if ev.Address == "" && !me.joinBudget.take(now) {
		me.refuseLink(id, now)
		return
	}
	if len(me.links) == 0 {
		me.endIsolation(now)
	}
	pe := &peer{
		id:               id,
		dialled:          ev.Address != "",
		version:          contract.Version(ev.Hello.GetVersion()),
		activated:        ev.Hello.GetSettled(),
		acceptsPacked:    ev.Hello.GetAcceptsPacked(),
		acceptsCrashNews: ev.Hello.GetAcceptsCrashNews(),

		acceptsRolloutNews: ev.Hello.GetAcceptsRolloutNews(),
	}
	me.links[id] = pe
	delete(me.redialDeadlines, id)
	delete(me.avoidUntil, id)
	me.sendFormerRecord(ho)
	me.sendFloor(pe)
	updates := me.merge([]*wire.Host{ho}, id, now)
	if old := me.hosts[id]; old != nil && newer(old.host, ho) {
		me.send(id, membersMessage([]*wire.Host{old.host}))
	}
	me.forwardRecords(updates, id)
	me.updateReachOnOpen(pe, now)
	me.updatePeerFloor(pe)
	me.antiEntropyAfterHello(pe, ev.Hello, now)
	me.sendCrashNews(pe, me.crashes.All(), now)
	me.sendRolloutNews(pe, me.rollouts.All(), now)
	me.linksOutdated = true
}

// refuseLink closes a new link that exceeds the join rate, and first sends the peer the
// addresses of other hosts.
func (me *Member) refuseLink(id host.ID, now time.Time) {
	me.note(NoteLinkRefused, id, now)
	ring := me.centre(me.cfg.DataCentre).liveRing()
	addresses := make([]string, 0, maxRefusalAddresses)
	for range min(maxRefusalAddresses, len(ring)) {
		re := ring[me.cfg.Rand.IntN(len(ring))]
		if re.id != me.cfg.Host && re.id != id {
			addresses = append(addresses, re.host.GetAddress())
		}
	}
	me.send(id, linkEndMessage(true, addresses))
	me.emit(CloseLink{Peer: id})
}

// handleLinkEnd handles a peer's announcement that it closes the link. A peer that
// refused the link is dialled again after a backoff; the addresses that it sent become
// contacts if this node knows no other live host or has at most one link.
func (me *Member) handleLinkEnd(pe *peer, le *wire.LinkEnd, now time.Time) {
	pe.closing = true
	if !le.GetRefused() {
		return
	}
	me.note(NoteLinkRefused, pe.id, now)
	if me.liveHosts <= 1 || len(me.links) <= 1 {
		for _, ad := range le.GetAddresses()[:min(len(le.GetAddresses()), maxRefusalAddresses)] {
			me.addContact(ad)
		}
	}
	if re := me.hosts[pe.id]; re != nil {
		ds := me.dialStateOf(me.addressOf(re.host))
		ds.nextAt = ds.backoff.Next(now.Add(me.cfg.DialBase), me.cfg.Rand)
	}
}

// handleLinkClosed removes a peer. A host of the same data centre whose link closed
// without an announcement is redialled, and suspected if the link is not re-established
// within redialTimeout.
func (me *Member) handleLinkClosed(id host.ID, now time.Time) {
	pe := me.links[id]
	if pe == nil {
		return
	}
	delete(me.links, id)
	me.linksOutdated = true
	re := me.hosts[id]
	if re == nil || !re.live() {
		return
	}
	if re.centre() != me.cfg.DataCentre {
		me.updateReachOnClose(re.centre(), now)
	}
	if pe.closing {
		return
	}
	if me.canSuspect(id) {
		deadline := now.Add(redialTimeout)
		if deadline.Before(me.graceUntil) {
			deadline = me.graceUntil
		}
		me.redialDeadlines[id] = deadline
		me.dialHost(id, now)
	}
}

// handleDialFailed schedules the next dial of an address. A host of another data centre
// is avoided for a while; one of the same data centre is suspected if its link was lost
// or an earlier dial failed too.
func (me *Member) handleDialFailed(address string, now time.Time) {
	ds := me.dials[address]
	if ds == nil {
		return
	}
	ds.pending = false
	ds.failures++
	ds.nextAt = ds.backoff.Next(now, me.cfg.Rand)
	if ds.host == "" || me.links[ds.host] != nil {
		return
	}
	re := me.hosts[ds.host]
	if re == nil {
		return
	}
	if re.centre() != me.cfg.DataCentre {
		me.avoidUntil[ds.host] = now.Add(avoidDuration)
		me.linksOutdated = true
		return
	}
	_, lost := me.redialDeadlines[ds.host]
	if (lost || ds.failures > 1) && !now.Before(me.graceUntil) {
		me.raiseSuspicion(ds.host, now)
	}
}
