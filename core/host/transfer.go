package host

import "time"

const (
	// fewestTransfers is how many bodies may arrive at once on any link: while one
	// is asked for, another one uses the link.
	fewestTransfers = 2
	// mostTransfers bounds what is learnt, in bodies.
	mostTransfers = 64
	// firstTransfers is the bound before anything is learnt, in bodies.
	firstTransfers = 4
	// shortQueue and longQueue are the bodies on a link beyond those that it
	// carries at full speed: with fewer the bound grows, with more it falls.
	shortQueue = 1
	longQueue  = 2
	// minSample is the shortest body that tells about a link, in bytes; a shorter
	// one takes as long as the first round trip.
	minSample = 16 << 10
)

// transfers bounds the request bodies that arrive at once. Bodies that share a
// link at its limit each take longer, and hold up every short message that
// crosses it; bodies of slow senders on a wide link don't. The bound follows how
// much longer a body takes beside others than alone.
type transfers struct {
	open  int
	limit float64
	// sole is the only body on its way, if it has been alone from its beginning.
	sole *entry
	// alone is how long a byte takes when no other body is on its way.
	alone float64
	// mean is how long a body takes.
	mean time.Duration
}

// full tells whether no other body may arrive now.
func (tr *transfers) full() bool { return tr.open >= tr.bound() }

func (tr *transfers) bound() int {
	if tr.limit == 0 {
		return firstTransfers
	}
	return int(tr.limit)
}

// begin notes that a body is asked for.
func (tr *transfers) begin(en *entry) {
	en.receiving = true
	tr.open++
	en.sharers = tr.open
	tr.sole = nil
	if tr.open == 1 {
		tr.sole = en
	}
}

// end notes that a body is there, or that no more of it comes; bytes is 0 when
// it tells nothing about the link.
func (tr *transfers) end(en *entry, bytes int64, now time.Time) {
	if !en.receiving {
		return
	}
	en.receiving = false
	alone := tr.sole == en
	tr.open--
	tr.sole = nil
	took := now.Sub(en.dispatched)
	if bytes < minSample || took <= 0 {
		return
	}
	if tr.mean == 0 {
		tr.mean = took
	}
	tr.mean += (took - tr.mean) / meanWeight
	tr.learn(took.Seconds()/float64(bytes), en.sharers, alone)
}

// learn takes in how long a byte of a body took, beside so many bodies.
func (tr *transfers) learn(pace float64, sharers int, alone bool) {
	switch {
	case tr.alone == 0 || pace < tr.alone:
		tr.alone = pace
	case alone:
		tr.alone += (pace - tr.alone) / meanWeight
	}
	if tr.limit == 0 {
		tr.limit = firstTransfers
	}
	queue := float64(sharers) * (1 - tr.alone/pace)
	switch {
	case queue < shortQueue && sharers >= tr.bound()-1:
		tr.limit += 1 / tr.limit
	case queue > longQueue:
		tr.limit -= 1 / tr.limit
	}
	tr.limit = min(max(tr.limit, fewestTransfers), mostTransfers)
}

// wait estimates how long a body waits until it may arrive, behind others.
func (tr *transfers) wait(ahead int) time.Duration {
	if tr.open+ahead < tr.bound() {
		return 0
	}
	return tr.mean * time.Duration(1+ahead) / time.Duration(tr.bound())
}
