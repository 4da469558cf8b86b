package host

import "lynxfold/core/contract"

const (
	// shareWindow is the window of the moving averages of the shares served, in attempts.
	shareWindow = 64
	// minRelativeShare is the share served of a level, as a part of that of all attempts,
	// below which its attempts are dispatched like the most urgent ones. At least half is
	// wanted; the margin is for the delay of the averages.
	minRelativeShare = 0.35
)

// servedShare is the moving average of the share of attempts that were dispatched and not
// refused for want of capacity. It tells the share not served, so that it starts at 0.
type servedShare struct {
	missed float64
}

func (ss *servedShare) add(missed float64) { ss.missed += (missed - ss.missed) / shareWindow }

// isStarved reports whether too few of a level's attempts are served.
func (ga *Gate) isStarved(le *level) bool {
	return 1-le.share.missed < minRelativeShare*(1-ga.share.missed)
}

// recordShare records whether an attempt was served. A fail-fast attempt without a slot is
// tried elsewhere, and does not count.
func (ga *Gate) recordShare(en *entry, missed float64) {
	if en.level == nil || en.attempt.Class == contract.ClassBulk || en.attempt.Nested {
		return
	}
	en.level.share.add(missed)
	ga.share.add(missed)
}

// setUrgency sets the urgency by which an arriving attempt is dispatched.
func (ga *Gate) setUrgency(en *entry) {
	en.urgency = en.attempt.urgency()
	en.level = ga.levels.of(en.urgency)
	if en.attempt.Class != contract.ClassBulk && ga.isStarved(en.level) {
		en.urgency = ga.levels.list[0].urgency
	}
}
