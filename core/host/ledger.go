package host

import "time"

// entryState is the processing state of an attempt.
type entryState int

const (
	stateQueued entryState = iota
	stateRunning
	stateFinished
	stateBroken
	stateRefused
)

// entry is the record of one attempt in the ledger.
type entry struct {
	attempt    Attempt
	origin     Origin
	state      entryState
	reason     Reason
	keptBytes  int
	dispatched time.Time
	started    bool
	// receivingBody is true while the request body is being received.
	// concurrentTransfers is the number of bodies, this one included, that were being
	// received when it began.
	receivingBody       bool
	concurrentTransfers int
	// due is the objective, or a much later time if there is none; queued attempts are
	// ordered by it. deferred marks a retry by the caller that can no longer meet its
	// objective; it is queued behind the attempts that can.
	due      time.Time
	deferred bool
	arrived  time.Time
	// level is that of the attempt; nil before its arrival is handled. urgency is by which it
	// is dispatched; it is higher than that of its level while this is starved.
	level   *level
	urgency urgency
	// fairTag orders the attempts of different customers at one level, and fairCost is the
	// expected service time; charged is set while the customer is charged with it.
	fairTag  time.Duration
	fairCost time.Duration
	charged  bool
	// estimatedWait is the wait in the queue as estimated on arrival, and waits is where
	// its error is recorded; nil if it isn't.
	estimatedWait time.Duration
	waits         *waitError
	// interrupted is set once the running attempt has been told to stop.
	interrupted bool
	waiters     []waiter
}

// waiter is a query that waits for the end of an attempt.
type waiter struct {
	query QueryID
	until time.Time
}

func (en *entry) active() bool { return en.state == stateQueued || en.state == stateRunning }

// fate returns the status to report to queries.
func (en *entry) fate() Fate {
	switch en.state {
	case stateQueued, stateRunning:
		return FateRunning
	case stateFinished:
		if en.keptBytes > 0 {
			return FateFinished
		}
		return FateAnswerLost
	case stateBroken:
		return FateBroken
	case stateRefused:
	}
	if en.reason == ReasonTombstone {
		return FateNeverSeen
	}
	return FateRefused
}

// endedEntry is the queue element that schedules an ended attempt for removal.
type endedEntry struct {
	id     AttemptID
	dropAt time.Time
}

// watermark is the highest call number of an issuer whose record was dropped.
type watermark struct {
	incarnation Incarnation
	call        uint64
}

// ledger records non-idempotent attempts beyond their end, so that none runs twice
// and queries can report their fate. For each issuer whose records were dropped it
// keeps a watermark: an attempt at or below it may have been seen before.
type ledger struct {
	cfg     LedgerConfig
	entries map[AttemptID]*entry
	// ended lists the ended attempts, oldest first, starting at index head.
	ended []endedEntry
	head  int
	// answers lists the attempts whose answers are kept, oldest first.
	answers    []AttemptID
	keptBytes  int
	watermarks map[ID]watermark
	// droppedIncarnation is the highest issuer incarnation whose watermark was
	// dropped.
	droppedIncarnation Incarnation
}

// LedgerConfig bounds the memory of the ledger.
type LedgerConfig struct {
	// KeepFor is the minimum time for which the record of an ended attempt is kept;
	// it is also kept until the deadline of the attempt.
	KeepFor time.Duration
	// MaxEntries bounds the number of records. Beyond it, the oldest ended attempts
	// are dropped early, and queries for them are answered with FateUnknown.
	MaxEntries int
	// MaxAnswerBytes bounds the total size of the kept answers; the oldest are
	// dropped first.
	MaxAnswerBytes int
	// MaxIssuers bounds the number of issuers that have a watermark.
	MaxIssuers int
}

// Defaults for the bounds of a ledger.
const (
	defaultKeepFor        = 2 * time.Minute
	defaultMaxEntries     = 1 << 16
	defaultMaxAnswerBytes = 16 << 20
	defaultMaxIssuers     = 1 << 16
)

func (lc LedgerConfig) withDefaults() LedgerConfig {
	if lc.KeepFor <= 0 {
		lc.KeepFor = defaultKeepFor
	}
	if lc.MaxEntries <= 0 {
		lc.MaxEntries = defaultMaxEntries
	}
	if lc.MaxAnswerBytes <= 0 {
		lc.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if lc.MaxIssuers <= 0 {
		lc.MaxIssuers = defaultMaxIssuers
	}
	return lc
}

func newLedger(lc LedgerConfig) *ledger {
	return &ledger{
		cfg:        lc.withDefaults(),
		entries:    map[AttemptID]*entry{},
		watermarks: map[ID]watermark{},
	}
}

// mayHaveDropped reports whether a record of an attempt with this origin may have
// been dropped.
func (le *ledger) mayHaveDropped(or Origin) bool {
	wm, ok := le.watermarks[or.Issuer.Host]
	if !ok {
		return or.Issuer.Incarnation <= le.droppedIncarnation
	}
	if or.Issuer.Incarnation != wm.incarnation {
		return or.Issuer.Incarnation < wm.incarnation
	}
	return or.Call <= wm.call
}

// add creates the record of an attempt.
func (le *ledger) add(at Attempt, or Origin) *entry {
	en := &entry{
		attempt: at,
		origin:  or,
	}
	le.entries[at.ID] = en
	return en
}

// end records the end of an attempt and returns the attempts whose kept answers
// must be dropped.
func (le *ledger) end(en *entry, st entryState, re Reason, keptBytes int, now time.Time) []AttemptID {
	en.state = st
	en.reason = re
	if en.origin.Idempotent {
		delete(le.entries, en.attempt.ID)
		return droppedAnswer(keptBytes, en.attempt.ID)
	}
	le.ended = append(le.ended, endedEntry{
		id:     en.attempt.ID,
		dropAt: latest(now.Add(le.cfg.KeepFor), en.attempt.Deadline),
	})
	if keptBytes <= 0 {
		return nil
	}
	en.keptBytes = keptBytes
	le.keptBytes += keptBytes
	le.answers = append(le.answers, en.attempt.ID)
	return le.shrinkAnswers()
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

func droppedAnswer(keptBytes int, id AttemptID) []AttemptID {
	if keptBytes <= 0 {
		return nil
	}
	return []AttemptID{id}
}

// shrinkAnswers drops the oldest answers until the total size is within the bound.
func (le *ledger) shrinkAnswers() []AttemptID {
	var out []AttemptID
	for le.keptBytes > le.cfg.MaxAnswerBytes {
		id := le.answers[0]
		le.answers = le.answers[1:]
		if le.dropAnswer(le.entries[id]) {
			out = append(out, id)
		}
	}
	return out
}

// dropAnswer drops the kept answer of an attempt; it returns false when there is none.
func (le *ledger) dropAnswer(en *entry) bool {
	if en == nil || en.keptBytes == 0 {
		return false
	}
	le.keptBytes -= en.keptBytes
	en.keptBytes = 0
	return true
}

// dropRecords drops records that are too old or exceed the limit, and returns the
// attempts whose kept answers are dropped with them.
func (le *ledger) dropRecords(now time.Time) []AttemptID {
	var out []AttemptID
	for le.head < len(le.ended) {
		ee := le.ended[le.head]
		if now.Before(ee.dropAt) && len(le.entries) <= le.cfg.MaxEntries {
			break
		}
		le.head++
		en := le.entries[ee.id]
		if le.dropAnswer(en) {
			out = append(out, ee.id)
		}
		if len(le.answers) > 0 && le.answers[0] == ee.id {
			le.answers = le.answers[1:]
		}
		le.raiseWatermark(en.origin)
		delete(le.entries, ee.id)
	}
	le.compactEnded()
	return out
}

// compactEnded frees the part of ended that precedes head.
func (le *ledger) compactEnded() {
	if le.head > len(le.ended)/2 {
		le.ended = append(le.ended[:0], le.ended[le.head:]...)
		le.head = 0
	}
}

// raiseWatermark notes that the record of an attempt was dropped.
func (le *ledger) raiseWatermark(or Origin) {
	wm, ok := le.watermarks[or.Issuer.Host]
	switch {
	case !ok:
		le.dropOldestWatermark()
	case or.Issuer.Incarnation < wm.incarnation:
		return
	case or.Issuer.Incarnation == wm.incarnation && or.Call <= wm.call:
		return
	}
	le.watermarks[or.Issuer.Host] = watermark{
		incarnation: or.Issuer.Incarnation,
		call:        or.Call,
	}
}

// dropOldestWatermark drops the watermark with the lowest incarnation when the
// maximum number of issuers is reached.
func (le *ledger) dropOldestWatermark() {
	if len(le.watermarks) < le.cfg.MaxIssuers {
		return
	}
	var oldest ID
	for id, wm := range le.watermarks {
		if oldest == "" || wm.incarnation < le.watermarks[oldest].incarnation {
			oldest = id
		}
	}
	le.droppedIncarnation = max(le.droppedIncarnation, le.watermarks[oldest].incarnation)
	delete(le.watermarks, oldest)
}
