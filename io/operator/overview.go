package operator

import (
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"lynxfold/core/contract"
	"lynxfold/core/draft"
)

// maxRows bounds the items of one kind that the overview lists.
const maxRows = 100

// overviewPage is the content of the overview: the items of the configuration with the
// edits of the draft.
type overviewPage struct {
	Filter string
	Groups []itemGroup
	// EditCount is the number of edits in the draft.
	EditCount int
}

// itemGroup lists the items of one kind.
type itemGroup struct {
	Kind    draft.ItemKind
	Title   string
	Empty   string
	Columns []string
	Rows    []itemRow
	// Single marks a kind with at most one item.
	Single bool
	// Omitted is the number of rows beyond maxRows.
	Omitted int
}

// itemRow is one item. Mark is the action of the draft on it, if any.
type itemRow struct {
	Item  draft.Item
	Mark  draft.Action
	Cells []string
}

func (cr *consoleRequest) showOverview() {
	filter := strings.TrimSpace(cr.formValue("find"))
	doc := cr.draftDocument()
	marks := map[draft.Item]draft.Action{}
	for _, ch := range cr.draft.Changes() {
		marks[ch.Item] = ch.Action
	}
	cr.render(pageOverview, overviewPage{
		Filter:    filter,
		EditCount: cr.draft.Len(),
		Groups: []itemGroup{
			cr.serviceGroup(doc).withDraft(marks, filter),
			contractGroup(doc).withDraft(marks, filter),
			routeGroup(doc).withDraft(marks, filter),
			limitsGroup(doc).withDraft(marks, filter),
			customerGroup(doc).withDraft(marks, filter),
		},
	})
}

func (cr *consoleRequest) serviceGroup(doc *contract.Document) itemGroup {
	gr := itemGroup{
		Kind:    draft.KindService,
		Title:   "Services",
		Empty:   "There is no service yet. Begin with one: a service is a set of upstreams that answer the same calls.",
		Columns: []string{"Name", "Description", "Usable upstreams"},
	}
	counts := cr.usableUpstreams()
	for _, se := range doc.Services {
		gr.add(string(se.Name), se.Description, plural(counts[se.Name], "upstream"))
	}
	return gr
}

func contractGroup(doc *contract.Document) itemGroup {
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
		gr.add(string(te.Name), repeat, formatMilliseconds(te.TimeoutMS), plural(te.Retries, "retry"))
	}
	return gr
}

func routeGroup(doc *contract.Document) itemGroup {
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

func limitsGroup(doc *contract.Document) itemGroup {
	gr := itemGroup{
		Kind:    draft.KindLimits,
		Title:   "Limits",
		Empty:   "What callers may send is bounded by the settings of each host.",
		Columns: []string{"Name", "Header", "Body", "Header timeout", "Idle timeout"},
		Single:  true,
	}
	if li := doc.Limits; li != nil {
		gr.add(string(draft.LimitsCallers), formatLimit(li.MaxHeaderBytes, "bytes"), formatLimit(li.MaxBodyBytes, "bytes"),
			formatLimit(li.HeaderTimeoutMS, "ms"), formatLimit(li.IdleTimeoutMS, "ms"))
	}
	return gr
}

// formatLimit formats a limit; 0 means that the settings of each host apply.
func formatLimit(value int64, unit string) string {
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

// withDraft marks the rows that the draft changes, adds rows for the items that it
// removes, and drops the rows that do not match the filter.
func (gr itemGroup) withDraft(marks map[draft.Item]draft.Action, filter string) itemGroup {
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
		return !strings.Contains(ir.Item.Name+" "+strings.Join(ir.Cells, " "), filter)
	})
	if len(gr.Rows) > maxRows {
		gr.Omitted = len(gr.Rows) - maxRows
		gr.Rows = gr.Rows[:maxRows]
	}
	for i := range gr.Rows {
		gr.Rows[i].Mark = marks[gr.Rows[i].Item]
	}
	return gr
}

// discardDraft replaces the draft by an empty one.
func (cr *consoleRequest) discardDraft() {
	cr.draft = draft.New(cr.activeConfig().Version)
	cr.notice = "The draft is discarded."
	cr.showOverview()
}

// undoItem removes the edit of one item from the draft.
func (cr *consoleRequest) undoItem(arg string) {
	it := parseItem(arg)
	switch it.Kind {
	case draft.KindService:
		delete(cr.draft.Services, contract.ServiceName(it.Name))
	case draft.KindContract:
		delete(cr.draft.Contracts, contract.TermsName(it.Name))
	case draft.KindRoute:
		delete(cr.draft.Routes, contract.RouteName(it.Name))
	case draft.KindLimits:
		delete(cr.draft.Limits, draft.LimitsName(it.Name))
	case draft.KindCustomer:
		delete(cr.draft.Customers, contract.CustomerName(it.Name))
	}
	cr.notice = "The edit of " + string(it.Kind) + " " + it.Name + " is undone."
	cr.showOverview()
}

func (cr *consoleRequest) removeItem(arg string) {
	it := parseItem(arg)
	doc := cr.activeConfig().Document
	switch it.Kind {
	case draft.KindService:
		cr.draft.RemoveService(doc, contract.ServiceName(it.Name))
	case draft.KindContract:
		cr.draft.RemoveContract(doc, contract.TermsName(it.Name))
	case draft.KindRoute:
		cr.draft.RemoveRoute(doc, contract.RouteName(it.Name))
	case draft.KindLimits:
		cr.draft.RemoveLimits(doc)
	case draft.KindCustomer:
		cr.draft.RemoveCustomer(doc, contract.CustomerName(it.Name))
	default:
		cr.status = fasthttp.StatusBadRequest
	}
	cr.notice = "The draft removes " + string(it.Kind) + " " + it.Name + "."
	cr.showOverview()
}
