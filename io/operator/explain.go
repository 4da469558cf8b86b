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

// Explainer returns the recorded decisions on a subject.
type Explainer interface {
	ExplainVersion(ve contract.Version) record.Explanation
	ExplainHost(id host.ID) record.Explanation
	ExplainCall(id string) record.Explanation
	Latest(limit int) record.Explanation
}

// ExplainBody is the response body of the explain endpoints.
type ExplainBody struct {
	// Host is the node that responded; each node records only its own decisions.
	Host host.ID `json:"host"`
	record.Explanation
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
		sv.handleNotFound(ctx)
		return
	}
	if _, err := strconv.ParseUint(id, 10, 64); err != nil && subject == SubjectVersion {
		sv.writeProblem(ctx, &platform.NotFoundError{Name: "version " + id})
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, ExplainBody{
		Host:        sv.cfg.Host,
		Explanation: sv.explanationFor(subject, id),
	})
}

// maxLatestDecisions bounds the decisions that are listed without a subject.
const maxLatestDecisions = 200

func (sv *Server) getLatestDecisions(ctx *fasthttp.RequestCtx, _ access.Operator) {
	writeJSON(ctx, fasthttp.StatusOK, ExplainBody{
		Host:        sv.cfg.Host,
		Explanation: sv.cfg.Explainer.Latest(maxLatestDecisions),
	})
}
