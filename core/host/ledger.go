package host

import "time"

// entryState is where an attempt is.
type entryState int

const (
	stateQueued entryState = iota
	stateRunning
	stateFinished
	stateBroken
	stateRefused
)

// entry is what the ledger knows of one attempt.
type entry struct {
	attempt    Attempt
	origin     Origin
	state      entryState
	reason     Reason
	kept       int
	dispatched time.Time
	started    bool
	// receiving says that the body is on its way, which began beside so many
	// sharers, itself among them.
	receiving bool
	sharers   int
	// due orders the attempts that wait; late ones can't meet their objective.
	due     time.Time
	late    bool
	arrived time.Time
	// cancelled attempts were interrupted already.
	cancelled bool
	waiters   []waiter
}

// waiter is a query that waits for the attempt's end.
type waiter struct {
	query QueryID
	until time.Time
}

func (en *entry) open() bool { return en.state == stateQueued || en.state == stateRunning }

// fate is what a query is told.
func (en *entry) fate() Fate {
	switch en.state {
	case stateQueued, stateRunning:
		return FateRunning
	case stateFinished:
		if en.kept > 0 {
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

// closedEntry is the place of an ended attempt in the order of dropping.
type closedEntry struct {
	id     AttemptID
	dropAt time.Time
}

// mark is the highest call of an issuer whose record was dropped.
type mark struct {
	incarnation Incarnation
	call        uint64
}

// ledger remembers non-idempotent attempts after their end, so that none runs
// twice and a query learns what became of it. Dropped records leave a mark for
// each issuer: what is at or below it may have been seen.
type ledger struct {
	cfg     LedgerConfig
	entries map[AttemptID]*entry
	// closed are the ended attempts, oldest first, from head on.
	closed []closedEntry
	head   int
	// answers are the attempts with a kept answer, oldest first.
	answers   []AttemptID
	keptBytes int
	marks     map[ID]mark
	// floor is the highest incarnation of an issuer whose mark was dropped.
	floor Incarnation
}

// LedgerConfig bounds what a gate remembers.
type LedgerConfig struct {
	// KeepFor is how long an ended attempt is remembered at least; it is not
	// forgotten before its deadline either.
	KeepFor time.Duration
	// MaxEntries bounds the attempts remembered. When it is reached, the oldest
	// ended ones are dropped early, and queries for them are told unknown.
	MaxEntries int
	// MaxAnswerBytes bounds the answers kept together; the oldest go first.
	MaxAnswerBytes int
	// MaxIssuers bounds the issuers remembered.
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
		cfg:     lc.withDefaults(),
		entries: map[AttemptID]*entry{},
		marks:   map[ID]mark{},
	}
}

// forgotten tells whether a record of an attempt from this origin may have been dropped.
func (le *ledger) forgotten(or Origin) bool {
	ma, ok := le.marks[or.Issuer.Host]
	if !ok {
		return or.Issuer.Incarnation <= le.floor
	}
	if or.Issuer.Incarnation != ma.incarnation {
		return or.Issuer.Incarnation < ma.incarnation
	}
	return or.Call <= ma.call
}

// open records an attempt that arrived.
func (le *ledger) open(at Attempt, or Origin) *entry {
	en := &entry{
		attempt: at,
		origin:  or,
	}
	le.entries[at.ID] = en
	return en
}

// end records how an attempt ended and returns the attempts whose kept answers
// had to go.
func (le *ledger) end(en *entry, st entryState, re Reason, kept int, now time.Time) []AttemptID {
	en.state = st
	en.reason = re
	if en.origin.Idempotent {
		delete(le.entries, en.attempt.ID)
		return dropped(kept, en.attempt.ID)
	}
	le.closed = append(le.closed, closedEntry{
		id:     en.attempt.ID,
		dropAt: latest(now.Add(le.cfg.KeepFor), en.attempt.Deadline),
	})
	if kept <= 0 {
		return nil
	}
	en.kept = kept
	le.keptBytes += kept
	le.answers = append(le.answers, en.attempt.ID)
	return le.shrinkAnswers()
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

func dropped(kept int, id AttemptID) []AttemptID {
	if kept <= 0 {
		return nil
	}
	return []AttemptID{id}
}

// shrinkAnswers drops the oldest answers until the rest are within the bound.
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

// dropAnswer is false when the attempt has no kept answer.
func (le *ledger) dropAnswer(en *entry) bool {
	if en == nil || en.kept == 0 {
		return false
	}
	le.keptBytes -= en.kept
	en.kept = 0
	return true
}

// drop forgets what is too old or too much, and returns the attempts whose kept
// answers go with it.
func (le *ledger) drop(now time.Time) []AttemptID {
	var out []AttemptID
	for le.head < len(le.closed) {
		cl := le.closed[le.head]
		if now.Before(cl.dropAt) && len(le.entries) <= le.cfg.MaxEntries {
			break
		}
		le.head++
		en := le.entries[cl.id]
		if le.dropAnswer(en) {
			out = append(out, cl.id)
		}
		if len(le.answers) > 0 && le.answers[0] == cl.id {
			le.answers = le.answers[1:]
		}
		le.raise(en.origin)
		delete(le.entries, cl.id)
	}
	le.compact()
	return out
}

// compact frees the dropped part of the order of dropping.
func (le *ledger) compact() {
	if le.head > len(le.closed)/2 {
		le.closed = append(le.closed[:0], le.closed[le.head:]...)
		le.head = 0
	}
}

// raise marks that the record of an attempt is gone.
func (le *ledger) raise(or Origin) {
	ma, ok := le.marks[or.Issuer.Host]
	switch {
	case !ok:
		le.makeRoom()
	case or.Issuer.Incarnation < ma.incarnation:
		return
	case or.Issuer.Incarnation == ma.incarnation && or.Call <= ma.call:
		return
	}
	le.marks[or.Issuer.Host] = mark{
		incarnation: or.Issuer.Incarnation,
		call:        or.Call,
	}
}

// makeRoom drops the mark of the oldest incarnation when there are too many.
func (le *ledger) makeRoom() {
	if len(le.marks) < le.cfg.MaxIssuers {
		return
	}
	var oldest ID
	for id, ma := range le.marks {
		if oldest == "" || ma.incarnation < le.marks[oldest].incarnation {
			oldest = id
		}
	}
	le.floor = max(le.floor, le.marks[oldest].incarnation)
	delete(le.marks, oldest)
}
