package operator

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"lynxfold/core/contract"
	"lynxfold/core/draft"
	"lynxfold/io/operator/access"
	"lynxfold/io/platform"
)

// ConfigBody is the configuration in force, or the one to accept.
type ConfigBody struct {
	// Version is in force, or the base of the document.
	Version  contract.Version `json:"version"`
	Digest   contract.Digest  `json:"digest,omitempty"`
	Document json.RawMessage  `json:"document,omitempty"`
	// Submission tells a repeat from a new request; made up when empty.
	Submission string `json:"submission,omitempty"`
}

// Problem is why a request was not carried out.
type Problem struct {
	Reason ProblemReason         `json:"reason"`
	Detail string                `json:"detail"`
	Fields []contract.FieldError `json:"fields,omitempty"`
	// Version is the one in force, with a conflict.
	Version contract.Version `json:"version,omitempty"`
	// Submission names the request to ask about, when it is in doubt.
	Submission string `json:"submission,omitempty"`
	// Conflicts are the items that both sides changed, with a conflict.
	Conflicts []ConflictBody `json:"conflicts,omitempty"`
}

// ConflictBody is one item that two operators have changed differently; a list
// is empty where the item is not there.
type ConflictBody struct {
	Kind   draft.ItemKind `json:"kind"`
	Name   string         `json:"name"`
	Was    []draft.Field  `json:"was"`
	Theirs []draft.Field  `json:"theirs"`
	Yours  []draft.Field  `json:"yours"`
}

// ProblemReason names why a request was not carried out.
type ProblemReason string

// Reasons of problems.
const (
	ReasonInvalid     ProblemReason = "invalid"
	ReasonConflict    ProblemReason = "conflict"
	ReasonUnavailable ProblemReason = "unavailable"
	ReasonInDoubt     ProblemReason = "in_doubt"
	ReasonBehind      ProblemReason = "behind"
	ReasonDenied      ProblemReason = "denied"
	ReasonNotFound    ProblemReason = "not_found"
	ReasonFault       ProblemReason = "fault"
)

// HistoryBody lists accepted versions, the latest first.
type HistoryBody struct {
	Versions []HistoryEntry `json:"versions"`
}

// HistoryEntry is what is recorded of one accepted version.
type HistoryEntry struct {
	Version    contract.Version `json:"version"`
	Operator   string           `json:"operator"`
	AcceptedAt time.Time        `json:"accepted_at"`
	Digest     contract.Digest  `json:"digest"`
	Changes    []string         `json:"changes"`
}

func (sv *Server) getConfig(ctx *fasthttp.RequestCtx, _ access.Operator) {
	writeConfig(ctx, sv.cfg.View().Config)
}

func writeConfig(ctx *fasthttp.RequestCtx, sn *contract.Snapshot) {
	writeJSON(ctx, fasthttp.StatusOK, ConfigBody{
		Version:  sn.Version,
		Digest:   sn.Digest,
		Document: sn.Document.Encode(),
	})
}

func (sv *Server) getVersion(ctx *fasthttp.RequestCtx, _ access.Operator) {
	sn, err := sv.version(ctx)
	if err != nil {
		sv.problem(ctx, err)
		return
	}
	writeConfig(ctx, sn)
}

// document reads a whole version from the platform.
func (sv *Server) document(ve contract.Version) (*contract.Snapshot, error) {
	ctx, cancel := platformContext()
	defer cancel()
	return sv.cfg.History.Document(ctx, ve)
}

// version reads the version that a request's path names.
func (sv *Server) version(ctx *fasthttp.RequestCtx) (*contract.Snapshot, error) {
	text, _ := ctx.UserValue("version").(string)
	ve, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, &platform.NotFoundError{Name: "version " + text}
	}
	if sn := sv.cfg.View().Config; sn.Version == contract.Version(ve) {
		return sn, nil
	}
	return sv.document(contract.Version(ve))
}

func (sv *Server) postConfig(ctx *fasthttp.RequestCtx, op access.Operator) {
	var body ConfigBody
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		sv.problem(ctx, &contract.SyntaxError{Detail: err.Error()})
		return
	}
	doc, err := contract.ParseDocument(body.Document)
	if err == nil {
		err = doc.Validate()
	}
	if err != nil {
		sv.countChange(err)
		sv.problem(ctx, err)
		return
	}
	if body.Submission == "" {
		body.Submission = sv.cfg.NewID()
	}
	de, err := sv.accept(submission{
		id:       body.Submission,
		operator: op,
		base:     body.Version,
		document: doc,
	})
	if err != nil {
		sv.answerFailed(ctx, body, doc, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, ConfigBody{
		Version:    de.Result,
		Digest:     de.Digest,
		Submission: body.Submission,
	})
}

// answerFailed answers a submission that was not accepted.
func (sv *Server) answerFailed(ctx *fasthttp.RequestCtx, body ConfigBody, doc *contract.Document, err error) {
	pr := problemOf(err)
	pr.Submission = body.Submission
	if pr.Reason == ReasonConflict {
		inForce := sv.cfg.View().Config
		pr.Version = inForce.Version
		pr.Conflicts = sv.conflicts(body.Version, inForce, doc)
	}
	writeJSON(ctx, statusOf(pr.Reason), pr)
}

// conflicts lists what a document and the version in force both changed since a
// base; without the base every difference counts.
func (sv *Server) conflicts(base contract.Version, inForce *contract.Snapshot, doc *contract.Document) []ConflictBody {
	sn, err := sv.document(base)
	if base == 0 {
		sn, err = contract.EmptySnapshot(), nil
	}
	if err != nil {
		sv.cfg.Log.Warn().Err(err).Uint64("config_version", uint64(base)).Msg("base of a conflict can't be read")
		sn = contract.EmptySnapshot()
	}
	_, found := draft.Diff(sn, doc).Merge(inForce, nil)
	bodies := make([]ConflictBody, 0, len(found))
	for _, co := range found {
		bodies = append(bodies, ConflictBody{
			Kind:   co.Item.Kind,
			Name:   co.Item.Name,
			Was:    co.Before,
			Theirs: co.Theirs,
			Yours:  co.Yours,
		})
	}
	return bodies
}

func reasonOf(err error) ProblemReason {
	var (
		invalid  *contract.ValidationError
		syntax   *contract.SyntaxError
		conflict *ConflictError
		behind   *BehindError
		doubt    *platform.InDoubtError
		missing  *platform.NotFoundError
	)
	switch {
	case errors.As(err, &invalid), errors.As(err, &syntax):
		return ReasonInvalid
	case errors.As(err, &conflict):
		return ReasonConflict
	case errors.As(err, &behind):
		return ReasonBehind
	case errors.As(err, &doubt):
		return ReasonInDoubt
	case errors.As(err, &missing):
		return ReasonNotFound
	}
	return ReasonUnavailable
}

func statusOf(re ProblemReason) int {
	switch re {
	case ReasonInvalid:
		return fasthttp.StatusUnprocessableEntity
	case ReasonConflict:
		return fasthttp.StatusConflict
	case ReasonInDoubt:
		return fasthttp.StatusGatewayTimeout
	case ReasonNotFound:
		return fasthttp.StatusNotFound
	}
	return fasthttp.StatusServiceUnavailable
}

func problemOf(err error) Problem {
	pr := Problem{
		Reason: reasonOf(err),
		Detail: err.Error(),
	}
	var invalid *contract.ValidationError
	if errors.As(err, &invalid) {
		pr.Fields = invalid.Fields
	}
	return pr
}

// problem answers with the status that fits an error.
func (sv *Server) problem(ctx *fasthttp.RequestCtx, err error) {
	pr := problemOf(err)
	writeJSON(ctx, statusOf(pr.Reason), pr)
}

// historyPage bounds the versions that are listed at once.
const historyPage = 50

// history lists up to a page of versions below one, the latest first.
func (sv *Server) history(below contract.Version) ([]HistoryEntry, error) {
	if below == 0 {
		below = sv.cfg.View().Config.Version + 1
	}
	after := contract.Version(0)
	if below > historyPage+1 {
		after = below - historyPage - 1
	}
	ctx, cancel := platformContext()
	defer cancel()
	rows, err := sv.cfg.History.Rows(ctx, after, historyPage)
	if err != nil {
		return nil, err
	}
	entries := make([]HistoryEntry, 0, len(rows))
	for i := len(rows) - 1; i >= 0; i-- {
		if rows[i].Version < below {
			entries = append(entries, entryOf(rows[i]))
		}
	}
	return entries, nil
}

func entryOf(row platform.VersionRow) HistoryEntry {
	return HistoryEntry{
		Version:    row.Version,
		Operator:   row.Operator,
		AcceptedAt: row.AcceptedAt,
		Digest:     row.Delta.Digest,
		Changes:    changesOf(row.Delta),
	}
}

// changesOf names the items that a delta puts or removes.
func changesOf(de *contract.Delta) []string {
	changes := []string{}
	for _, se := range de.PutServices {
		changes = append(changes, "put service "+string(se.Name))
	}
	for _, te := range de.PutContracts {
		changes = append(changes, "put contract "+string(te.Name))
	}
	for _, ro := range de.PutRoutes {
		changes = append(changes, "put route "+string(ro.Name))
	}
	for _, na := range de.RemoveServices {
		changes = append(changes, "remove service "+string(na))
	}
	for _, na := range de.RemoveContracts {
		changes = append(changes, "remove contract "+string(na))
	}
	for _, na := range de.RemoveRoutes {
		changes = append(changes, "remove route "+string(na))
	}
	return changes
}

func (sv *Server) getHistory(ctx *fasthttp.RequestCtx, _ access.Operator) {
	entries, err := sv.history(contract.Version(ctx.QueryArgs().GetUintOrZero("below")))
	if err != nil {
		sv.problem(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, HistoryBody{Versions: entries})
}

func (sv *Server) getMetrics(ctx *fasthttp.RequestCtx, _ access.Operator) {
	writeMetrics(ctx, sv.cfg.Metrics)
}

func writeMetrics(ctx *fasthttp.RequestCtx, set *metrics.Set) {
	ctx.SetContentType("text/plain; version=0.0.4")
	set.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}
