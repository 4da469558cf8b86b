package node

import (
	"context"
	"time"

	"lynxfold/core/wire"
)

const (
	// prefaceSurvey is the preface of a connection on which the peer reports its active
	// configuration version.
	prefaceSurvey = "lynxfold survey  1\n"
	// maxSurveyBytes limits the answer to a survey.
	maxSurveyBytes = 64 << 10
	// surveyWriteTimeout limits the sending of the answer.
	surveyWriteTimeout = 2 * time.Second
)

// Survey queries the active configuration version of the node at an address. Each query
// opens and closes a connection, so that none is kept open between queries.
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

// ServeSurvey sends this node's answer on a survey connection.
func ServeSurvey(co *Conn, an *wire.SurveyAnswer) {
	_ = co.SetWriteDeadline(time.Now().Add(surveyWriteTimeout))
	data, err := appendMessage(nil, an)
	if err != nil {
		return // a SurveyAnswer always marshals
	}
	// A write error means that the peer is gone, and needs no report.
	_, _ = co.Write(data)
}
