package operator

import (
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"lynxfold/core/contract"
	"lynxfold/core/draft"
)

// maxRows bounds the items of one kind on the overview.
const maxRows = 100

// overviewPage lists the items of the configuration with the draft's edits.
type overviewPage struct {
	Find   string
	Groups []itemGroup
	// Changed counts the edits in the draft.
	Changed int
}

// itemGroup lists the items of one kind.
type itemGroup struct {
	Kind    draft.ItemKind
	Title   string
	Empty   string
	Columns []string
	Rows    []itemRow
	// Single groups have one item at most.
	Single bool
	// More counts the rows that were left out.
	More int
}

// itemRow is one item; Mark says how the draft changes it.
type itemRow struct {
	Item  draft.Item
	Mark  draft.Action
	Cells []string
}

func (vi *visit) overview() {
	find := strings.TrimSpace(vi.typed("find"))
	doc := vi.document()
	marks := map[draft.Item]draft.Action{}
	for _, ch := range vi.draft.Changes() {
		marks[ch.Item] = ch.Action
	}
	vi.render(pageOverview, overviewPage{
		Find:    find,
		Changed: vi.draft.Len(),
		Groups: []itemGroup{
			vi.services(doc).finish(marks, find),
			contracts(doc).finish(marks, find),
			routes(doc).finish(marks, find),
			limits(doc).finish(marks, find),
		},
	})
}

func (vi *visit) services(doc *contract.Document) itemGroup {
	gr := itemGroup{
		Kind:    draft.KindService,
		Title:   "Services",
		Empty:   "There is no service yet. Begin with one: a service is a set of upstreams that answer the same calls.",
		Columns: []string{"Name", "Description", "Usable upstreams"},
	}
	counts := vi.upstreams()
	for _, se := range doc.Services {
		gr.add(string(se.Name), se.Description, plural(counts[se.Name], "upstream"))
	}
	return gr
}

func contracts(doc *contract.Document) itemGroup {
	gr := itemGroup{
		Kind:    draft.KindContract,
		Title:   "Contracts",
		Empty:   "There is no contract yet. A contract says how calls may be made: how long they may take and whether they may be repeated.",
		Columns: []string{"Name", "May be repeated", "Timeout", "Retries"},
	}
	for _, te := range doc.Contracts {
		repeat := "no"
		switch {
		case te.Idempotent:
			repeat = "yes, idempotent"
		case te.Keyed:
			repeat = "no, keyed"
		}
		gr.add(string(te.Name), repeat, milliseconds(te.TimeoutMS), plural(te.Retries, "retry"))
	}
	return gr
}

func routes(doc *contract.Document) itemGroup {
	gr := itemGroup{
		Kind:    draft.KindRoute,
		Title:   "Routes",
		Empty:   "There is no route yet. A route sends the calls for a path to a service under a contract.",
		Columns: []string{"Name", "Path", "Methods", "Service", "Contract"},
	}
	for _, ro := range doc.Routes {
		methods := strings.Join(ro.Methods, " ")
		if methods == "" {
			methods = "all"
		}
		gr.add(string(ro.Name), ro.PathPrefix, methods, string(ro.Service), string(ro.Contract))
	}
	return gr
}

func limits(doc *contract.Document) itemGroup {
	gr := itemGroup{
		Kind:    draft.KindLimits,
		Title:   "Limits",
		Empty:   "What callers may send is bounded by the settings of each host.",
		Columns: []string{"Name", "Header", "Body", "Header timeout", "Idle timeout"},
		Single:  true,
	}
	if li := doc.Limits; li != nil {
		gr.add(string(draft.LimitsCallers), limit(li.MaxHeaderBytes, "bytes"), limit(li.MaxBodyBytes, "bytes"),
			limit(li.HeaderTimeoutMS, "ms"), limit(li.IdleTimeoutMS, "ms"))
	}
	return gr
}

// limit writes a limit that may be left to the settings of each host.
func limit(value int64, unit string) string {
	if value == 0 {
		return "by the host"
	}
	return fmt.Sprintf("%d %s", value, unit)
}

func (gr *itemGroup) add(name string, cells ...string) {
	gr.Rows = append(gr.Rows, itemRow{
		Item:  draft.Item{Kind: gr.Kind, Name: name},
		Cells: cells,
	})
}

// finish marks the rows that the draft changes, adds those that it removes, and
// leaves out what was not looked for.
func (gr itemGroup) finish(marks map[draft.Item]draft.Action, find string) itemGroup {
	for it, mark := range marks {
		if it.Kind == gr.Kind && mark == draft.ActionRemove {
			gr.Rows = append(gr.Rows, itemRow{
				Item:  it,
				Cells: make([]string, len(gr.Columns)-1),
			})
		}
	}
	slices.SortFunc(gr.Rows, func(a, b itemRow) int { return strings.Compare(a.Item.Name, b.Item.Name) })
	gr.Rows = slices.DeleteFunc(gr.Rows, func(ir itemRow) bool {
		return !strings.Contains(ir.Item.Name+" "+strings.Join(ir.Cells, " "), find)
	})
	if len(gr.Rows) > maxRows {
		gr.More = len(gr.Rows) - maxRows
		gr.Rows = gr.Rows[:maxRows]
	}
	for i := range gr.Rows {
		gr.Rows[i].Mark = marks[gr.Rows[i].Item]
	}
	return gr
}

// discard forgets the draft.
func (vi *visit) discard() {
	vi.draft = draft.New(vi.inForce().Version)
	vi.notice = "The draft is discarded."
	vi.overview()
}

// undoItem forgets the draft's edit of one item.
func (vi *visit) undoItem(rest string) {
	it := itemOf(rest)
	switch it.Kind {
	case draft.KindService:
		delete(vi.draft.Services, contract.ServiceName(it.Name))
	case draft.KindContract:
		delete(vi.draft.Contracts, contract.TermsName(it.Name))
	case draft.KindRoute:
		delete(vi.draft.Routes, contract.RouteName(it.Name))
	case draft.KindLimits:
		delete(vi.draft.Limits, draft.LimitsName(it.Name))
	}
	vi.notice = "The edit of " + string(it.Kind) + " " + it.Name + " is undone."
	vi.overview()
}

func (vi *visit) removeItem(rest string) {
	it := itemOf(rest)
	doc := vi.inForce().Document
	switch it.Kind {
	case draft.KindService:
		vi.draft.RemoveService(doc, contract.ServiceName(it.Name))
	case draft.KindContract:
		vi.draft.RemoveContract(doc, contract.TermsName(it.Name))
	case draft.KindRoute:
		vi.draft.RemoveRoute(doc, contract.RouteName(it.Name))
	case draft.KindLimits:
		vi.draft.RemoveLimits(doc)
	default:
		vi.status = fasthttp.StatusBadRequest
	}
	vi.notice = "The draft removes " + string(it.Kind) + " " + it.Name + "."
	vi.overview()
}
