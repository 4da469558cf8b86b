package operator

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/io/operator/access"
	"lynxfold/io/operator/record"
	"lynxfold/io/platform"
)

// Explainer tells from a node's record why something happened.
type Explainer interface {
	Version(ve contract.Version) record.Answer
	Host(id host.ID) record.Answer
	CallOf(id string) record.Answer
	Latest(limit int) record.Answer
}

// ExplainBody is a node's explanation.
type ExplainBody struct {
	// Host is the node that answers; each node remembers only its own decisions.
	Host host.ID `json:"host"`
	record.Answer
}

// Subjects of explanations.
const (
	SubjectVersion = "version"
	SubjectHost    = "host"
	SubjectCall    = "call"
)

func (sv *Server) getExplain(ctx *fasthttp.RequestCtx, _ access.Operator) {
	subject, _ := ctx.UserValue("subject").(string)
	id, _ := ctx.UserValue("id").(string)
	switch subject {
	case SubjectVersion, SubjectHost, SubjectCall:
	default:
		sv.notFound(ctx)
		return
	}
	if _, err := strconv.ParseUint(id, 10, 64); err != nil && subject == SubjectVersion {
		sv.problem(ctx, &platform.NotFoundError{Name: "version " + id})
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, ExplainBody{
		Host:   sv.cfg.Host,
		Answer: sv.answerFor(subject, id),
	})
}

// latestEntries bounds the decisions that are listed without a subject.
const latestEntries = 200

func (sv *Server) getLatest(ctx *fasthttp.RequestCtx, _ access.Operator) {
	writeJSON(ctx, fasthttp.StatusOK, ExplainBody{
		Host:   sv.cfg.Host,
		Answer: sv.cfg.Explainer.Latest(latestEntries),
	})
}
