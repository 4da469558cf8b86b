package operator

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"lynxfold/core/contract"
	"lynxfold/io/operator/access"
	"lynxfold/io/platform"
)

// submission is one request to have a document accepted. Sent again with the
// same id it has the same effect once.
type submission struct {
	id       string
	operator access.Operator
	base     contract.Version
	document *contract.Document
}

// ConflictError reports a submission whose base is no longer the version in force.
type ConflictError struct {
	Base contract.Version
	// InForce is the version that this node has in force.
	InForce contract.Version
}

func (er *ConflictError) Error() string {
	return fmt.Sprintf("the document is based on version %d, and another version was accepted after it", er.Base)
}

// BehindError reports a base that this node has not reached.
type BehindError struct {
	Base    contract.Version
	InForce contract.Version
}

func (er *BehindError) Error() string {
	return fmt.Sprintf("this node has version %d in force and not yet %d; ask again or ask another node", er.InForce, er.Base)
}

// accept has a document accepted as the version after its base. It fails with a
// contract.ValidationError, a ConflictError, a BehindError, or a
// platform.UnavailableError or InDoubtError.
func (sv *Server) accept(su submission) (*contract.Delta, error) {
	de, err := sv.submit(su)
	sv.countChange(err)
	if err != nil {
		return nil, err
	}
	sv.cfg.Log.Info().
		Str("operator", string(su.operator.Name)).
		Str("submission", su.id).
		Uint64("config_version", uint64(de.Result)).
		Msg("version accepted")
	sv.cfg.Accepted(de, su.operator.Name)
	return de, nil
}

func (sv *Server) submit(su submission) (*contract.Delta, error) {
	inForce := sv.cfg.View().Config
	if inForce.Version < su.base {
		return nil, &BehindError{Base: su.base, InForce: inForce.Version}
	}
	if inForce.Version > su.base {
		return sv.outcome(su)
	}
	de, err := sv.cfg.Acceptor.Accept(platform.Submission{
		ID:          su.id,
		Operator:    string(su.operator.Name),
		Base:        inForce,
		Document:    su.document,
		SubmittedAt: sv.cfg.Now().UTC(),
		Deadline:    sv.cfg.Now().Add(platformWithin),
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return sv.outcome(su)
	}
	return de, err
}

// outcome reads what became of a submission that may have been accepted: its
// delta when it was, a ConflictError when another took its place, and a
// platform.InDoubtError when neither can be known yet.
func (sv *Server) outcome(su submission) (*contract.Delta, error) {
	ctx, cancel := platformContext()
	defer cancel()
	row, err := sv.cfg.History.Row(ctx, su.base+1)
	var missing *platform.NotFoundError
	switch {
	case errors.As(err, &missing), err != nil:
		return nil, &platform.InDoubtError{Doing: fmt.Sprintf("read version %d", su.base+1), Err: err}
	case row.Submission != su.id:
		return nil, &ConflictError{Base: su.base, InForce: sv.cfg.View().Config.Version}
	}
	return row.Delta, nil
}

func platformContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), platformWithin)
}

func (sv *Server) countChange(err error) {
	outcome := "accepted"
	if err != nil {
		outcome = string(reasonOf(err))
	}
	sv.count(fmt.Sprintf(`lynxfold_operator_changes_total{outcome=%q}`, outcome))
}
