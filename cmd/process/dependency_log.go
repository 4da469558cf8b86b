package process

import (
	"time"

	"github.com/rs/zerolog"

	"lynxfold/core/datacentre"
	"lynxfold/io/node"
)

// dependencyLog logs when this node loses or regains what it depends on: links to
// other hosts, and the platform.
type dependencyLog struct {
	log zerolog.Logger
	// platformLostAt is when reads of the platform began to fail; zero while they succeed.
	platformLostAt time.Time
	// failedReads is the number of reads that have failed since then.
	failedReads   int
	readsPlatform bool
}

// linkEvent logs a link that was opened or closed; links is the number still open.
func (dl *dependencyLog) linkEvent(ev node.Event, links int) {
	switch ev := ev.(type) {
	case node.SessionOpened:
		dl.log.Info().
			Str("event", "link_opened").
			Str("peer", string(ev.Session.Peer())).
			Bool("dialled", ev.Address != "").
			Int("links", links).
			Msg("link to another host opened")
	case node.SessionClosed:
		le := dl.log.Info().
			Str("event", "link_closed").
			Str("peer", string(ev.Session.Peer())).
			Str("reason", string(ev.Session.Reason())).
			Int("links", links)
		logBacklog(le, ev.Session.Backlog())
		le.Msg("link to another host closed")
	}
}

// logBacklog adds what waited on a link that was closed as the peer is too slow.
func logBacklog(le *zerolog.Event, bl *node.Backlog) {
	if bl == nil {
		return
	}
	kinds := zerolog.Dict()
	for kind, count := range bl.Kinds {
		kinds.Int(kind, count)
	}
	le.Dict("queued", kinds).
		Int64("queued_bytes", bl.Bytes).
		Int64("oldest_ms", time.Since(bl.OldestAt).Milliseconds())
}

// memberEvent logs changes of whether this node reads the platform and whether the
// reads succeed.
func (dl *dependencyLog) memberEvent(ev datacentre.Event, reads bool, now time.Time) {
	if reads != dl.readsPlatform {
		dl.readsPlatform = reads
		message := "this node stopped reading the platform"
		if reads {
			message = "this node started reading the platform"
		}
		dl.log.Info().
			Str("event", "reader_changed").
			Bool("reads", reads).
			Msg(message)
	}
	re, ok := ev.(datacentre.PlatformRead)
	if !ok {
		return
	}
	if re.Err != nil {
		dl.failedReads++
	}
	switch {
	case re.Err != nil && dl.platformLostAt.IsZero():
		dl.platformLostAt = now
		dl.log.Warn().
			Err(re.Err).
			Str("event", "platform_lost").
			Int64("read_took_ms", re.Took.Milliseconds()).
			Msg("platform can't be read, keeping the configuration in force")
	case re.Err == nil && !dl.platformLostAt.IsZero():
		dl.log.Info().
			Str("event", "platform_regained").
			Int64("lost_for_ms", now.Sub(dl.platformLostAt).Milliseconds()).
			Int("failed_reads", dl.failedReads).
			Int64("read_took_ms", re.Took.Milliseconds()).
			Msg("platform can be read again")
		dl.platformLostAt = time.Time{}
		dl.failedReads = 0
	}
}
