package node

import (
	"context"
	"time"

	"lynxfold/core/wire"
)

const (
	// prefaceSurvey opens a connection on which the peer says what it has in force.
	prefaceSurvey = "lynxfold survey  1\n"
	// maxSurveyBytes bounds an answer, in bytes.
	maxSurveyBytes = 64 << 10
	// surveyWriteTimeout bounds the sending of an answer.
	surveyWriteTimeout = 2 * time.Second
)

// Survey asks the node at an address what it has in force. Nothing is kept open
// for it, so that it costs nothing when nobody asks.
func (di *Dialer) Survey(ctx context.Context, address string) (*wire.SurveyAnswer, error) {
	co, err := di.dial(ctx, address, prefaceSurvey)
	if err != nil {
		return nil, err
	}
	defer func() { _ = co.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = co.SetReadDeadline(deadline)
	}
	an := &wire.SurveyAnswer{}
	if err := readMessage(co.Reader, an, maxSurveyBytes); err != nil {
		return nil, err
	}
	return an, nil
}

// ServeSurvey answers a connection that asks what this node has in force.
func ServeSurvey(co *Conn, an *wire.SurveyAnswer) {
	_ = co.SetWriteDeadline(time.Now().Add(surveyWriteTimeout))
	data, err := appendMessage(nil, an)
	if err != nil {
		return // a SurveyAnswer always marshals
	}
	// A peer that is gone has nobody to tell.
	_, _ = co.Write(data)
}
