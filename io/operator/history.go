package operator

import (
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"

	"lynxfold/core/contract"
	"lynxfold/core/draft"
)

// historyPage is the content of the history page.
type historyPage struct {
	Entries []HistoryEntry
	Active  contract.Version
	// Older is the version below which the next page starts; 0 if this is the last page.
	Older contract.Version
	Error string
}

func (sv *Server) getHistoryPage(cr *consoleRequest) {
	cr.showHistory(contract.Version(cr.ctx.QueryArgs().GetUintOrZero("below")))
}

// showHistoryBelow shows the versions below the one in the button's value.
func (cr *consoleRequest) showHistoryBelow(arg string) {
	below, _ := strconv.ParseUint(arg, 10, 64) // an empty value means the latest
	cr.showHistory(contract.Version(below))
}

func (cr *consoleRequest) showHistory(below contract.Version) {
	hp := historyPage{Active: cr.activeConfig().Version}
	entries, err := cr.server.historyEntries(below)
	if err != nil {
		cr.status = fasthttp.StatusServiceUnavailable
		hp.Error = "The history is kept on the platform, which can't be read now: " + err.Error()
	}
	hp.Entries = entries
	if n := len(entries); n > 0 && entries[n-1].Version > 1 {
		hp.Older = entries[n-1].Version
	}
	cr.render(pageHistory, hp)
}

// rollBack puts the content of an old version into the draft, to be accepted as a new
// version.
func (cr *consoleRequest) rollBack(arg string) {
	ve, err := strconv.ParseUint(arg, 10, 64)
	if err != nil {
		cr.status = fasthttp.StatusBadRequest
		cr.showHistory(0)
		return
	}
	old, err := cr.server.readVersion(contract.Version(ve))
	if err != nil {
		cr.status = statusOf(reasonOf(err))
		cr.notice = fmt.Sprintf("Version %d can't be read: %s", ve, err)
		cr.showHistory(0)
		return
	}
	cr.draft = draft.Diff(cr.activeConfig(), old.Document)
	cr.notice = fmt.Sprintf("The draft holds the content of version %d. Accepted, it becomes version %d; no node goes back.", ve, cr.activeConfig().Version+1)
	cr.showReview(cr.server.cfg.NewID(), false)
}

// getDownload responds with the document of a version as a file.
func (sv *Server) getDownload(cr *consoleRequest) {
	sn, err := sv.requestedVersion(cr.ctx)
	if err != nil {
		cr.status = statusOf(reasonOf(err))
		cr.notice = "The version can't be read: " + err.Error()
		cr.showOverview()
		return
	}
	cr.ctx.SetContentType("application/json")
	cr.ctx.Response.Header.Set(fasthttp.HeaderContentDisposition,
		fmt.Sprintf(`attachment; filename="lynxfold-version-%d.json"`, sn.Version))
	cr.ctx.SetBody(append(sn.Document.Encode(), '\n'))
}
