package operator

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"lynxfold/core/contract"
	"lynxfold/core/draft"
	"lynxfold/io/platform"
)

// reviewPage is the content of the review page: the changes and the risks of a draft.
type reviewPage struct {
	Changes []draft.Change
	Risks   []draft.Risk
	Issues  []draftIssue
	// Submission is the id of the submission that the accept button sends.
	Submission string
	// ConfirmMissing reports whether the draft has risks and was submitted without the
	// confirmation checkbox.
	ConfirmMissing bool
}

// draftIssue is a validation error that prevents a draft from being accepted.
type draftIssue struct {
	Item   draft.Item
	Field  string
	Detail string
}

// reviewDraft merges the draft onto the active version and shows it for review.
func (cr *consoleRequest) reviewDraft() {
	if cr.showWaitIfBehind() || !cr.mergeDraft(nil) {
		return
	}
	cr.showReview(cr.server.cfg.NewID(), false)
}

// showWaitIfBehind shows the wait page and returns true if the draft is based on a version
// that is not active on this node yet.
func (cr *consoleRequest) showWaitIfBehind() bool {
	active := cr.activeConfig().Version
	if cr.draft.Base <= active {
		return false
	}
	cr.status = fasthttp.StatusServiceUnavailable
	cr.notice = fmt.Sprintf("This node has version %d in force and has not reached version %d, which the draft is based on. Look again in a few seconds.",
		active, cr.draft.Base)
	cr.render(pageWait, nil)
	return true
}

// mergeDraft merges the draft onto the active version. If there are conflicts without a
// choice, it shows the conflict page and returns false.
func (cr *consoleRequest) mergeDraft(choices map[draft.Item]draft.Choice) bool {
	base := cr.draft.Base
	merged, conflicts := cr.draft.Merge(cr.activeConfig(), choices)
	if len(conflicts) > 0 {
		cr.status = fasthttp.StatusConflict
		cr.render(pageConflict, cr.conflictPage(base, conflicts))
		return false
	}
	cr.draft = merged
	if base != merged.Base {
		cr.notice = fmt.Sprintf("%s Your edits are carried over to version %d; look at them once more.", cr.laterVersionText(base), merged.Base)
	}
	return true
}

// laterVersionText says when and by whom a version after the base was accepted. If the
// platform cannot be read, it gives only the number of the active version.
func (cr *consoleRequest) laterVersionText(base contract.Version) string {
	ctx, cancel := platformContext()
	defer cancel()
	rows, err := cr.server.cfg.History.Rows(ctx, base, historyPageSize)
	if err != nil || len(rows) == 0 {
		return fmt.Sprintf("Version %d was accepted after you began on version %d.", cr.activeConfig().Version, base)
	}
	last := rows[len(rows)-1]
	return fmt.Sprintf("%s had version %d accepted at %s, after you began on version %d.",
		last.Operator, last.Version, formatTime(last.AcceptedAt), base)
}

func (cr *consoleRequest) showReview(submission string, confirmMissing bool) {
	rp := reviewPage{
		Changes:        cr.draft.Changes(),
		Risks:          cr.draft.Risks(cr.activeConfig().Document, cr.usableUpstreams()),
		Submission:     submission,
		ConfirmMissing: confirmMissing,
	}
	after := cr.draftDocument()
	for _, fe := range fieldErrors(after) {
		lo := locationOf(after, fe.Path)
		rp.Issues = append(rp.Issues, draftIssue{
			Item:   lo.item,
			Field:  lo.field,
			Detail: fe.Detail,
		})
	}
	cr.render(pageReview, rp)
}

// acceptDraft submits the draft. For the action "ask" it repeats an earlier submission to
// learn its outcome, without requiring the confirmation of the risks again.
func (cr *consoleRequest) acceptDraft() {
	if !cr.operator.MayChange() {
		cr.showDenied(cr.operator.Require("change"))
		return
	}
	id := cr.formValue(fieldSubmission)
	recheck := strings.HasPrefix(cr.formValue(fieldAction), "ask")
	if id == "" || cr.draft.Len() == 0 {
		cr.reviewDraft()
		return
	}
	risks := cr.draft.Risks(cr.activeConfig().Document, cr.usableUpstreams())
	if !recheck && len(risks) > 0 && cr.formValue(fieldConfirm) == "" {
		cr.status = fasthttp.StatusUnprocessableEntity
		cr.showReview(id, true)
		return
	}
	de, err := cr.server.accept(submission{
		id:       id,
		operator: cr.operator,
		base:     cr.draft.Base,
		document: cr.draftDocument(),
	})
	if err != nil {
		cr.handleAcceptError(id, err)
		return
	}
	cr.draft = draft.New(de.Result)
	cr.render(pageAccepted, acceptedPage{
		Version:  de.Result,
		Operator: string(cr.operator.Name),
		At:       cr.server.cfg.Now(),
	})
}

// acceptedPage is the content of the page for an accepted version.
type acceptedPage struct {
	Version  contract.Version
	Operator string
	At       time.Time
}

// inDoubtPage is the content of the page for a submission with an unknown outcome.
type inDoubtPage struct {
	Submission string
	Version    contract.Version
}

// handleAcceptError shows why a submission failed and keeps the draft.
func (cr *consoleRequest) handleAcceptError(id string, err error) {
	var inDoubt *platform.InDoubtError
	re := reasonOf(err)
	cr.status = statusOf(re)
	switch {
	case errors.As(err, &inDoubt):
		cr.render(pageInDoubt, inDoubtPage{
			Submission: id,
			Version:    cr.draft.Base + 1,
		})
	case re == ReasonConflict:
		cr.handleConflict()
	case re == ReasonBehind:
		cr.showWaitIfBehind()
	case re == ReasonInvalid:
		cr.showReview(id, false)
	default:
		cr.notice = "The platform can't be reached, so nothing was changed. The draft is still here; accept it again later."
		cr.showReview(id, false)
	}
}

// handleConflict merges the draft onto the version that was accepted first, or shows the
// wait page if that version is not active on this node yet.
func (cr *consoleRequest) handleConflict() {
	cr.view = cr.server.cfg.View()
	if cr.activeConfig().Version <= cr.draft.Base {
		cr.notice = fmt.Sprintf("Another operator had version %d accepted first, and it has not reached this node. Nothing of yours was changed; look again in a few seconds.", cr.draft.Base+1)
		cr.render(pageWait, nil)
		return
	}
	if cr.mergeDraft(nil) {
		cr.showReview(cr.server.cfg.NewID(), false)
	}
}

// conflictPage is the content of the conflict page: the items that two operators
// changed differently.
type conflictPage struct {
	LaterVersion string
	Conflicts    []conflictItem
}

// conflictItem is an item of the conflict page with its fields.
type conflictItem struct {
	Item   draft.Item
	Before string
	Theirs string
	Yours  string
	Rows   []conflictRow
}

// conflictRow is one field of a conflicting item: before both edits, in the active
// version, and in the draft.
type conflictRow struct {
	Label  string
	Before string
	Theirs string
	Yours  string
	// Differs reports whether the two edits set different values.
	Differs bool
}

func (cr *consoleRequest) conflictPage(base contract.Version, conflicts []draft.Conflict) conflictPage {
	cp := conflictPage{LaterVersion: cr.laterVersionText(base)}
	for _, co := range conflicts {
		cp.Conflicts = append(cp.Conflicts, conflictItemOf(co))
	}
	return cp
}

const absentText = "not there"

func conflictItemOf(co draft.Conflict) conflictItem {
	ci := conflictItem{Item: co.Item}
	longest := co.Before
	for _, fields := range [][]draft.Field{co.Theirs, co.Yours} {
		if len(fields) > len(longest) {
			longest = fields
		}
	}
	value := func(fields []draft.Field, i int) string {
		if i >= len(fields) {
			return absentText
		}
		return fields[i].Value
	}
	for i, fi := range longest {
		row := conflictRow{
			Label:  fi.Label,
			Before: value(co.Before, i),
			Theirs: value(co.Theirs, i),
			Yours:  value(co.Yours, i),
		}
		row.Differs = row.Theirs != row.Yours
		ci.Rows = append(ci.Rows, row)
	}
	return ci
}

// resolveConflicts merges the draft with the choices made on the conflict page.
func (cr *consoleRequest) resolveConflicts() {
	if cr.showWaitIfBehind() {
		return
	}
	choices := map[draft.Item]draft.Choice{}
	for name, va := range cr.ctx.PostArgs().All() {
		if arg, ok := strings.CutPrefix(string(name), "choice:"); ok {
			choices[parseItem(arg)] = draft.Choice(va)
		}
	}
	if cr.mergeDraft(choices) {
		cr.showReview(cr.server.cfg.NewID(), false)
	}
}
