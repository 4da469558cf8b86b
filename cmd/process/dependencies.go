package process

import (
	"time"

	"github.com/rs/zerolog"

	"lynxfold/core/datacentre"
	"lynxfold/io/node"
)

// dependencies writes a line when this node loses what it depends on, or has it
// back: links to other hosts, and the platform.
type dependencies struct {
	log zerolog.Logger
	// lostAt is when the platform could first not be read; zero while it can.
	lostAt time.Time
	reads  bool
}

// link notes a link that was opened or has ended; links counts those left.
func (de *dependencies) link(ev node.Event, links int) {
	switch ev := ev.(type) {
	case node.SessionOpened:
		de.log.Info().
			Str("event", "link_opened").
			Str("peer", string(ev.Session.Peer())).
			Bool("dialled", ev.Address != "").
			Int("links", links).
			Msg("link to another host is open")
	case node.SessionClosed:
		de.log.Info().
			Str("event", "link_closed").
			Str("peer", string(ev.Session.Peer())).
			Str("reason", string(ev.Session.Reason())).
			Int("links", links).
			Msg("link to another host has ended")
	}
}

// member notes whether this node reads the platform, and how that went.
func (de *dependencies) member(ev datacentre.Event, reads bool, now time.Time) {
	if reads != de.reads {
		de.reads = reads
		message := "this node ends reading the platform"
		if reads {
			message = "this node begins to read the platform"
		}
		de.log.Info().
			Str("event", "reader_changed").
			Bool("reads", reads).
			Msg(message)
	}
	re, ok := ev.(datacentre.PlatformRead)
	if !ok {
		return
	}
	switch {
	case re.Err != nil && de.lostAt.IsZero():
		de.lostAt = now
		de.log.Warn().
			Err(re.Err).
			Str("event", "platform_lost").
			Msg("platform can't be read, what is in force stays")
	case re.Err == nil && !de.lostAt.IsZero():
		de.log.Info().
			Str("event", "platform_regained").
			Int64("lost_for_ms", now.Sub(de.lostAt).Milliseconds()).
			Msg("platform can be read again")
		de.lostAt = time.Time{}
	}
}
