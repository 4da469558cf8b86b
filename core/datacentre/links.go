package datacentre

import (
	"maps"
	"slices"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/link"
	"lynxfold/core/wire"
)

// peer is the other end of a control link.
type peer struct {
	id host.ID
	// dialed is set when this node opened the link.
	dialed bool
	// ended is set once either end closes the link on purpose.
	ended bool
	// version is the highest that the peer said it has.
	version contract.Version
	settled bool
	// answered is set once the peer said which floor it remembers.
	answered bool
	// refused is the version that the peer can't compile.
	refused contract.Version
	// distrustBy is until when the peer is not asked for versions.
	distrustBy time.Time
	noticedAt  time.Time
}

// dial is what is known of an address without a link.
type dial struct {
	// host is empty for a contact whose host is not known.
	host    host.ID
	backoff link.Backoff
	at      time.Time
	pending bool
	by      time.Time
	failed  int
}

// contact remembers an address to find first peers at.
func (me *Member) contact(address string) {
	if address != "" && address != me.cfg.Address && address != me.cfg.RemoteAddress {
		me.contacts[address] = true
	}
}

// addressOf is where this node reaches another host.
func (me *Member) addressOf(ho *wire.Host) string {
	if ho.GetDataCentre() != string(me.cfg.DataCentre) && ho.GetRemoteAddress() != "" {
		return ho.GetRemoteAddress()
	}
	return ho.GetAddress()
}

// dialAt returns the state of an address.
func (me *Member) dialAt(address string) *dial {
	di := me.dials[address]
	if di == nil {
		di = &dial{
			backoff: link.Backoff{
				Base: me.cfg.DialBase,
				Cap:  me.cfg.DialCap,
			},
		}
		me.dials[address] = di
	}
	return di
}

// dialHost dials a host unless it is linked, being dialled or backing off.
func (me *Member) dialHost(id host.ID, now time.Time) {
	re := me.hosts[id]
	if re == nil || me.links[id] != nil {
		return
	}
	di := me.dialAt(me.addressOf(re.ho))
	di.host = id
	me.dialAddress(me.addressOf(re.ho), di, now)
}

func (me *Member) dialAddress(address string, di *dial, now time.Time) {
	if di.pending && now.Before(di.by) || now.Before(di.at) || me.leaving {
		return
	}
	di.pending = true
	di.by = now.Add(dialWithin)
	me.do(Dial{Address: address})
}

// dialDue dials the wanted hosts, or contacts while there is no link.
func (me *Member) dialDue(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(me.wants)) {
		me.dialHost(id, now)
	}
	if len(me.links) == 0 {
		me.dialContacts(now)
	}
}

// dialContacts tries a few contacts in random order.
func (me *Member) dialContacts(now time.Time) {
	addresses := slices.Sorted(maps.Keys(me.contacts))
	me.cfg.Rand.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	tried := 0
	for _, ad := range addresses {
		di := me.dialAt(ad)
		if di.pending && now.Before(di.by) {
			tried++
		}
		if tried >= bootstrapDials {
			return
		}
		if !di.pending && !now.Before(di.at) {
			me.dialAddress(ad, di, now)
			tried++
		}
	}
}

// knock tries one address of a dead host or an unused contact, slowly: the
// whole fleet tries each about once in knockEvery. It finds restarted hosts and
// the other side of a split while the platform is down.
func (me *Member) knock(now time.Time) {
	if now.Before(me.knockAt) || me.leaving {
		return
	}
	pool := me.knockable()
	if len(pool) == 0 {
		me.knockAt = now.Add(knockEvery)
		return
	}
	span := max(knockEvery*time.Duration(me.alive)/time.Duration(len(pool)), knockEvery/5)
	me.knockAt = now.Add(span/2 + me.jitter(span))
	slices.Sort(pool)
	ad := pool[me.cfg.Rand.IntN(len(pool))]
	me.dialAddress(ad, me.dialAt(ad), now)
}

// knockable lists the addresses of hosts that are gone and of contacts whose
// host is not known.
func (me *Member) knockable() []string {
	var pool []string
	for id := range me.gone {
		pool = append(pool, me.addressOf(me.hosts[id].ho))
	}
	if len(me.contacts) > 0 {
		unknown := maps.Clone(me.contacts)
		for _, re := range me.hosts {
			delete(unknown, re.ho.GetAddress())
			delete(unknown, re.ho.GetRemoteAddress())
		}
		pool = slices.AppendSeq(pool, maps.Keys(unknown))
	}
	return pool
}

func (me *Member) linkOpened(ev LinkOpened, now time.Time) {
	ho := ev.Hello.GetHost()
	id := host.ID(ho.GetId())
	if di := me.dials[ev.Address]; di != nil && ev.Address != "" {
		delete(me.dials, ev.Address)
	}
	if ev.Address == "" && !me.joins.take(now) {
		me.refuseLink(id, now)
		return
	}
	if len(me.links) == 0 {
		me.endIsolation(now)
	}
	pe := &peer{
		id:      id,
		dialed:  ev.Address != "",
		version: contract.Version(ev.Hello.GetVersion()),
		settled: ev.Hello.GetSettled(),
	}
	me.links[id] = pe
	delete(me.lost, id)
	delete(me.avoid, id)
	me.giveFloor(pe)
	fresh := me.merge([]*wire.Host{ho}, id, now)
	if old := me.hosts[id]; old != nil && newer(old.ho, ho) {
		me.send(id, membersMessage([]*wire.Host{old.ho}))
	}
	me.passOn(fresh, id)
	me.reachOpened(pe, now)
	me.remember(pe)
	me.compareHello(pe, ev.Hello, now)
	me.stale = true
}

// refuseLink sends a peer to other hosts, since too many join at once.
func (me *Member) refuseLink(id host.ID, now time.Time) {
	me.note(NoteLinkRefused, id, now)
	ring := me.centre(me.cfg.DataCentre).hashes()
	addresses := make([]string, 0, refusalAddresses)
	for range min(refusalAddresses, len(ring)) {
		re := ring[me.cfg.Rand.IntN(len(ring))]
		if re.id != me.cfg.Host && re.id != id {
			addresses = append(addresses, re.ho.GetAddress())
		}
	}
	me.send(id, linkEndMessage(true, addresses))
	me.do(CloseLink{Peer: id})
}

// linkEnds takes in that the peer closes the link on purpose.
func (me *Member) linkEnds(pe *peer, le *wire.LinkEnd, now time.Time) {
	pe.ended = true
	if !le.GetRefused() {
		return
	}
	me.note(NoteLinkRefused, pe.id, now)
	if me.alive <= 1 || len(me.links) <= 1 {
		for _, ad := range le.GetAddresses()[:min(len(le.GetAddresses()), refusalAddresses)] {
			me.contact(ad)
		}
	}
	if re := me.hosts[pe.id]; re != nil {
		di := me.dialAt(me.addressOf(re.ho))
		di.at = di.backoff.Next(now.Add(me.cfg.DialBase), me.cfg.Rand)
	}
}

func (me *Member) linkClosed(id host.ID, now time.Time) {
	pe := me.links[id]
	if pe == nil {
		return
	}
	delete(me.links, id)
	me.stale = true
	re := me.hosts[id]
	if re == nil || !re.live() {
		return
	}
	if re.centre() != me.cfg.DataCentre {
		me.reachLost(re.centre(), now)
	}
	if pe.ended {
		return
	}
	if me.mayAccuse(id) {
		by := now.Add(redialWait)
		if by.Before(me.graceBy) {
			by = me.graceBy
		}
		me.lost[id] = by
		me.dialHost(id, now)
	}
}

func (me *Member) dialFailed(address string, now time.Time) {
	di := me.dials[address]
	if di == nil {
		return
	}
	di.pending = false
	di.failed++
	di.at = di.backoff.Next(now, me.cfg.Rand)
	if di.host == "" || me.links[di.host] != nil {
		return
	}
	re := me.hosts[di.host]
	if re == nil {
		return
	}
	if re.centre() != me.cfg.DataCentre {
		me.avoid[di.host] = now.Add(avoidFor)
		me.stale = true
		return
	}
	_, lost := me.lost[di.host]
	if (lost || di.failed > 1) && !now.Before(me.graceBy) {
		me.accuse(di.host, now)
	}
}
