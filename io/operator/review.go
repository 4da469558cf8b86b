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

// reviewPage shows what a draft changes and puts at risk.
type reviewPage struct {
	Changes []draft.Change
	Risks   []draft.Risk
	Faults  []draftFault
	// Submission is the id of the request that the page's button makes.
	Submission string
	// Confirm asks for the box beside the risks once more.
	Confirm bool
}

// draftFault is one fault that stands in the way of accepting a draft.
type draftFault struct {
	Item   draft.Item
	Field  string
	Detail string
}

// review shows the draft before it is accepted, carried over to the version in force.
func (vi *visit) review() {
	if vi.behind() || !vi.mergeDraft(nil) {
		return
	}
	vi.showReview(vi.server.cfg.NewID(), false)
}

// behind answers when this node has not reached the version that the draft is based on.
func (vi *visit) behind() bool {
	inForce := vi.inForce().Version
	if vi.draft.Base <= inForce {
		return false
	}
	vi.status = fasthttp.StatusServiceUnavailable
	vi.notice = fmt.Sprintf("This node has version %d in force and has not reached version %d, which the draft is based on. Look again in a few seconds.",
		inForce, vi.draft.Base)
	vi.render(pageWait, nil)
	return true
}

// mergeDraft carries the draft over to the version in force; it answers with the
// conflict page and returns false when that needs a choice.
func (vi *visit) mergeDraft(choices map[draft.Item]draft.Choice) bool {
	base := vi.draft.Base
	merged, conflicts := vi.draft.Merge(vi.inForce(), choices)
	if len(conflicts) > 0 {
		vi.status = fasthttp.StatusConflict
		vi.render(pageConflict, vi.conflictPage(base, conflicts))
		return false
	}
	vi.draft = merged
	if base != merged.Base {
		vi.notice = fmt.Sprintf("%s Your edits are carried over to version %d; look at them once more.", vi.meanwhile(base), merged.Base)
	}
	return true
}

// meanwhile says who has had versions accepted after a base, as far as it can be read.
func (vi *visit) meanwhile(base contract.Version) string {
	ctx, cancel := platformContext()
	defer cancel()
	rows, err := vi.server.cfg.History.Rows(ctx, base, historyPage)
	if err != nil || len(rows) == 0 {
		return fmt.Sprintf("Version %d was accepted after you began on version %d.", vi.inForce().Version, base)
	}
	last := rows[len(rows)-1]
	return fmt.Sprintf("%s had version %d accepted at %s, after you began on version %d.",
		last.Operator, last.Version, stamp(last.AcceptedAt), base)
}

func (vi *visit) showReview(submission string, confirm bool) {
	rp := reviewPage{
		Changes:    vi.draft.Changes(),
		Risks:      vi.draft.Risks(vi.inForce().Document, vi.upstreams()),
		Submission: submission,
		Confirm:    confirm,
	}
	after := vi.document()
	for _, fe := range fieldErrors(after) {
		pl := placeOf(after, fe.Path)
		rp.Faults = append(rp.Faults, draftFault{
			Item:   pl.item,
			Field:  pl.field,
			Detail: fe.Detail,
		})
	}
	vi.render(pageReview, rp)
}

// accept has the draft accepted, or asks again what became of it.
func (vi *visit) accept() {
	if !vi.operator.MayChange() {
		vi.refuse(vi.operator.Require("change"))
		return
	}
	id := vi.typed(fieldSubmit)
	asking := strings.HasPrefix(vi.typed(fieldGo), "ask")
	if id == "" || vi.draft.Len() == 0 {
		vi.review()
		return
	}
	risks := vi.draft.Risks(vi.inForce().Document, vi.upstreams())
	if !asking && len(risks) > 0 && vi.typed(fieldConfirm) == "" {
		vi.status = fasthttp.StatusUnprocessableEntity
		vi.showReview(id, true)
		return
	}
	de, err := vi.server.accept(submission{
		id:       id,
		operator: vi.operator,
		base:     vi.draft.Base,
		document: vi.document(),
	})
	if err != nil {
		vi.notAccepted(id, err)
		return
	}
	vi.draft = draft.New(de.Result)
	vi.render(pageAccepted, acceptedPage{
		Version:  de.Result,
		Operator: string(vi.operator.Name),
		At:       vi.server.cfg.Now(),
	})
}

// acceptedPage tells that a version is accepted.
type acceptedPage struct {
	Version  contract.Version
	Operator string
	At       time.Time
}

// doubtPage tells that an answer was lost.
type doubtPage struct {
	Submission string
	Version    contract.Version
}

// notAccepted answers a submission that failed; the draft stays.
func (vi *visit) notAccepted(id string, err error) {
	var doubt *platform.InDoubtError
	re := reasonOf(err)
	vi.status = statusOf(re)
	switch {
	case errors.As(err, &doubt):
		vi.render(pageDoubt, doubtPage{
			Submission: id,
			Version:    vi.draft.Base + 1,
		})
	case re == ReasonConflict:
		vi.conflict()
	case re == ReasonBehind:
		vi.behind()
	case re == ReasonInvalid:
		vi.showReview(id, false)
	default:
		vi.notice = "The platform can't be reached, so nothing was changed. The draft is still here; accept it again later."
		vi.showReview(id, false)
	}
}

// conflict answers a lost race.
func (vi *visit) conflict() {
	vi.view = vi.server.cfg.View()
	if vi.inForce().Version <= vi.draft.Base {
		vi.notice = fmt.Sprintf("Another operator had version %d accepted first, and it has not reached this node. Nothing of yours was changed; look again in a few seconds.", vi.draft.Base+1)
		vi.render(pageWait, nil)
		return
	}
	if vi.mergeDraft(nil) {
		vi.showReview(vi.server.cfg.NewID(), false)
	}
}

// conflictPage shows both edits of the items that two operators have changed.
type conflictPage struct {
	Meanwhile string
	Conflicts []conflictItem
}

// conflictItem is one item with its fields in three states.
type conflictItem struct {
	Item   draft.Item
	Was    string
	Theirs string
	Yours  string
	Rows   []conflictRow
}

// conflictRow is one field in three states.
type conflictRow struct {
	Label  string
	Was    string
	Theirs string
	Yours  string
	// Differs marks the fields in which the two edits are not the same.
	Differs bool
}

func (vi *visit) conflictPage(base contract.Version, conflicts []draft.Conflict) conflictPage {
	cp := conflictPage{Meanwhile: vi.meanwhile(base)}
	for _, co := range conflicts {
		cp.Conflicts = append(cp.Conflicts, conflictItemOf(co))
	}
	return cp
}

const notThere = "not there"

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
			return notThere
		}
		return fields[i].Value
	}
	for i, fi := range longest {
		cr := conflictRow{
			Label:  fi.Label,
			Was:    value(co.Before, i),
			Theirs: value(co.Theirs, i),
			Yours:  value(co.Yours, i),
		}
		cr.Differs = cr.Theirs != cr.Yours
		ci.Rows = append(ci.Rows, cr)
	}
	return ci
}

// carry takes the choices of the conflict page.
func (vi *visit) carry() {
	if vi.behind() {
		return
	}
	choices := map[draft.Item]draft.Choice{}
	for name, va := range vi.ctx.PostArgs().All() {
		if rest, ok := strings.CutPrefix(string(name), "choice:"); ok {
			choices[itemOf(rest)] = draft.Choice(va)
		}
	}
	if vi.mergeDraft(choices) {
		vi.showReview(vi.server.cfg.NewID(), false)
	}
}
