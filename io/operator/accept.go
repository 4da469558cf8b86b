package operator

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"lynxfold/core/contract"
	"lynxfold/io/operator/access"
	"lynxfold/io/platform"
)

// submission is a request to accept a document as the next version. Its id makes it
// idempotent: sent again, it takes effect only once.
type submission struct {
	id       string
	operator access.Operator
	base     contract.Version
	document *contract.Document
}

// ConflictError reports a submission whose base is no longer the active version.
type ConflictError struct {
	Base contract.Version
	// Active is the version that is active on this node.
	Active contract.Version
}

func (er *ConflictError) Error() string {
	return fmt.Sprintf("the document is based on version %d, and another version was accepted after it", er.Base)
}

// BehindError reports a submission whose base is newer than the active version of this
// node.
type BehindError struct {
	Base   contract.Version
	Active contract.Version
}

func (er *BehindError) Error() string {
	return fmt.Sprintf("this node has version %d in force and not yet %d; ask again or ask another node", er.Active, er.Base)
}

// accept submits a document as the version after its base. It fails with a
// contract.ValidationError, a ConflictError, a BehindError, a
// platform.UnavailableError or a platform.InDoubtError.
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
	sv.cfg.OnAccepted(de, su.operator.Name)
	return de, nil
}

func (sv *Server) submit(su submission) (*contract.Delta, error) {
	active := sv.cfg.View().Config
	if active.Version < su.base {
		return nil, &BehindError{Base: su.base, Active: active.Version}
	}
	if active.Version > su.base {
		return sv.submissionOutcome(su)
	}
	de, err := sv.cfg.Acceptor.Accept(platform.Submission{
		ID:          su.id,
		Operator:    string(su.operator.Name),
		Base:        active,
		Document:    su.document,
		SubmittedAt: sv.cfg.Now().UTC(),
		Deadline:    sv.cfg.Now().Add(platformTimeout),
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return sv.submissionOutcome(su)
	}
	return de, err
}

// submissionOutcome looks up the result of a submission that may have been accepted. It
// returns its delta if it was, a ConflictError if another submission became that
// version, and a platform.InDoubtError if the version cannot be read.
func (sv *Server) submissionOutcome(su submission) (*contract.Delta, error) {
	ctx, cancel := platformContext()
	defer cancel()
	row, err := sv.cfg.History.Row(ctx, su.base+1)
	var notFound *platform.NotFoundError
	switch {
	case errors.As(err, &notFound), err != nil:
		return nil, &platform.InDoubtError{Op: fmt.Sprintf("read version %d", su.base+1), Err: err}
	case row.Submission != su.id:
		return nil, &ConflictError{Base: su.base, Active: sv.cfg.View().Config.Version}
	}
	return row.Delta, nil
}

// platformContext returns a context that ends after platformTimeout.
func platformContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), platformTimeout)
}

func (sv *Server) countChange(err error) {
	outcome := "accepted"
	if err != nil {
		outcome = string(reasonOf(err))
	}
	sv.incCounter(fmt.Sprintf(`lynxfold_operator_changes_total{outcome=%q}`, outcome))
}
