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

// ConfigBody is a configuration version in a response, or a document to accept in a
// request.
type ConfigBody struct {
	// Version is the version of the document, or in a request the version it is based on.
	Version  contract.Version `json:"version"`
	Digest   contract.Digest  `json:"digest,omitempty"`
	Document json.RawMessage  `json:"document,omitempty"`
	// Submission identifies the request across retries; generated if empty.
	Submission string `json:"submission,omitempty"`
}

// Problem is the body of an error response.
type Problem struct {
	Reason ProblemReason         `json:"reason"`
	Detail string                `json:"detail"`
	Fields []contract.FieldError `json:"fields,omitempty"`
	// Version is the active version; set on a conflict.
	Version contract.Version `json:"version,omitempty"`
	// Submission is the id of the request, for a retry if its outcome is in doubt.
	Submission string `json:"submission,omitempty"`
	// Conflicts are the items that the request and the active version changed differently;
	// set on a conflict.
	Conflicts []ConflictBody `json:"conflicts,omitempty"`
}

// ConflictBody is an item that two operators changed differently. A list of fields is
// empty if the item does not exist in that state.
type ConflictBody struct {
	Kind   draft.ItemKind `json:"kind"`
	Name   string         `json:"name"`
	Before []draft.Field  `json:"was"`
	Theirs []draft.Field  `json:"theirs"`
	Yours  []draft.Field  `json:"yours"`
}

// ProblemReason says why a request failed.
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
	ReasonInternal    ProblemReason = "fault"
)

// HistoryBody lists accepted versions, the latest first.
type HistoryBody struct {
	Versions []HistoryEntry `json:"versions"`
}

// HistoryEntry describes one accepted version.
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
	sn, err := sv.requestedVersion(ctx)
	if err != nil {
		sv.writeProblem(ctx, err)
		return
	}
	writeConfig(ctx, sn)
}

// readVersion reads the full configuration of a version from the platform.
func (sv *Server) readVersion(ve contract.Version) (*contract.Snapshot, error) {
	ctx, cancel := platformContext()
	defer cancel()
	return sv.cfg.History.Snapshot(ctx, ve)
}

// requestedVersion returns the configuration version given in the request path.
func (sv *Server) requestedVersion(ctx *fasthttp.RequestCtx) (*contract.Snapshot, error) {
	text, _ := ctx.UserValue("version").(string)
	ve, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, &platform.NotFoundError{Name: "version " + text}
	}
	if sn := sv.cfg.View().Config; sn.Version == contract.Version(ve) {
		return sn, nil
	}
	return sv.readVersion(contract.Version(ve))
}

func (sv *Server) postConfig(ctx *fasthttp.RequestCtx, op access.Operator) {
	var body ConfigBody
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		sv.writeProblem(ctx, &contract.SyntaxError{Detail: err.Error()})
		return
	}
	doc, err := contract.ParseDocument(body.Document)
	if err == nil {
		err = doc.Validate()
	}
	if err != nil {
		sv.countChange(err)
		sv.writeProblem(ctx, err)
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
		sv.writeSubmissionError(ctx, body, doc, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, ConfigBody{
		Version:    de.Result,
		Digest:     de.Digest,
		Submission: body.Submission,
	})
}

// writeSubmissionError responds to a submission that was not accepted.
func (sv *Server) writeSubmissionError(ctx *fasthttp.RequestCtx, body ConfigBody, doc *contract.Document, err error) {
	pr := problemOf(err)
	pr.Submission = body.Submission
	if pr.Reason == ReasonConflict {
		active := sv.cfg.View().Config
		pr.Version = active.Version
		pr.Conflicts = sv.conflicts(body.Version, active, doc)
	}
	writeJSON(ctx, statusOf(pr.Reason), pr)
}

// conflicts lists the items that both the document and the active version changed since
// the base. If the base cannot be read, it compares with an empty configuration, so
// that every difference counts as a conflict.
func (sv *Server) conflicts(base contract.Version, active *contract.Snapshot, doc *contract.Document) []ConflictBody {
	sn, err := sv.readVersion(base)
	if base == 0 {
		sn, err = contract.EmptySnapshot(), nil
	}
	if err != nil {
		sv.cfg.Log.Warn().Err(err).Uint64("config_version", uint64(base)).Msg("cannot read the base version of a conflict; comparing with an empty configuration")
		sn = contract.EmptySnapshot()
	}
	_, found := draft.Diff(sn, doc).Merge(active, nil)
	bodies := make([]ConflictBody, 0, len(found))
	for _, co := range found {
		bodies = append(bodies, ConflictBody{
			Kind:   co.Item.Kind,
			Name:   co.Item.Name,
			Before: co.Before,
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
		inDoubt  *platform.InDoubtError
		notFound *platform.NotFoundError
	)
	switch {
	case errors.As(err, &invalid), errors.As(err, &syntax):
		return ReasonInvalid
	case errors.As(err, &conflict):
		return ReasonConflict
	case errors.As(err, &behind):
		return ReasonBehind
	case errors.As(err, &inDoubt):
		return ReasonInDoubt
	case errors.As(err, &notFound):
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

// writeProblem responds with the problem and the status code for an error.
func (sv *Server) writeProblem(ctx *fasthttp.RequestCtx, err error) {
	pr := problemOf(err)
	writeJSON(ctx, statusOf(pr.Reason), pr)
}

// historyPageSize bounds the versions that are read from the platform at once.
const historyPageSize = 50

// historyEntries lists up to a page of the versions below the given one, the latest
// first. If below is 0, the list starts with the active version.
func (sv *Server) historyEntries(below contract.Version) ([]HistoryEntry, error) {
	if below == 0 {
		below = sv.cfg.View().Config.Version + 1
	}
	after := contract.Version(0)
	if below > historyPageSize+1 {
		after = below - historyPageSize - 1
	}
	ctx, cancel := platformContext()
	defer cancel()
	rows, err := sv.cfg.History.Rows(ctx, after, historyPageSize)
	if err != nil {
		return nil, err
	}
	entries := make([]HistoryEntry, 0, len(rows))
	for i := len(rows) - 1; i >= 0; i-- {
		if rows[i].Version < below {
			entries = append(entries, historyEntryOf(rows[i]))
		}
	}
	return entries, nil
}

func historyEntryOf(row platform.VersionRow) HistoryEntry {
	return HistoryEntry{
		Version:    row.Version,
		Operator:   row.Operator,
		AcceptedAt: row.AcceptedAt,
		Digest:     row.Delta.Digest,
		Changes:    changesOf(row.Delta),
	}
}

// changesOf lists the items that a delta puts or removes.
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
	for _, cu := range de.PutCustomers {
		changes = append(changes, "put customer "+string(cu.Name))
	}
	for _, na := range de.RemoveCustomers {
		changes = append(changes, "remove customer "+string(na))
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
	entries, err := sv.historyEntries(contract.Version(ctx.QueryArgs().GetUintOrZero("below")))
	if err != nil {
		sv.writeProblem(ctx, err)
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
