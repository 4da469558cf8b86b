package operator

import (
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"

	"lynxfold/core/contract"
	"lynxfold/core/draft"
)

// historyView lists accepted versions.
type historyView struct {
	Entries []HistoryEntry
	InForce contract.Version
	// Older is the version below which the next page begins; 0 when there is none.
	Older contract.Version
	Error string
}

func (sv *Server) getHistoryPage(vi *visit) {
	vi.showHistory(contract.Version(vi.ctx.QueryArgs().GetUintOrZero("below")))
}

// historyFrom lists the versions below one.
func (vi *visit) historyFrom(rest string) {
	below, _ := strconv.ParseUint(rest, 10, 64) // nothing typed means the latest
	vi.showHistory(contract.Version(below))
}

func (vi *visit) showHistory(below contract.Version) {
	hv := historyView{InForce: vi.inForce().Version}
	entries, err := vi.server.history(below)
	if err != nil {
		vi.status = fasthttp.StatusServiceUnavailable
		hv.Error = "The history is kept on the platform, which can't be read now: " + err.Error()
	}
	hv.Entries = entries
	if n := len(entries); n > 0 && entries[n-1].Version > 1 {
		hv.Older = entries[n-1].Version
	}
	vi.render(pageHistory, hv)
}

// rollBack drafts the content of an old version; it becomes a new one.
func (vi *visit) rollBack(rest string) {
	ve, err := strconv.ParseUint(rest, 10, 64)
	if err != nil {
		vi.status = fasthttp.StatusBadRequest
		vi.showHistory(0)
		return
	}
	old, err := vi.server.document(contract.Version(ve))
	if err != nil {
		vi.status = statusOf(reasonOf(err))
		vi.notice = fmt.Sprintf("Version %d can't be read: %s", ve, err)
		vi.showHistory(0)
		return
	}
	vi.draft = draft.Diff(vi.inForce(), old.Document)
	vi.notice = fmt.Sprintf("The draft holds the content of version %d. Accepted, it becomes version %d; no node goes back.", ve, vi.inForce().Version+1)
	vi.showReview(vi.server.cfg.NewID(), false)
}

// getDownload sends a version as one document.
func (sv *Server) getDownload(vi *visit) {
	sn, err := sv.version(vi.ctx)
	if err != nil {
		vi.status = statusOf(reasonOf(err))
		vi.notice = "The version can't be read: " + err.Error()
		vi.overview()
		return
	}
	vi.ctx.SetContentType("application/json")
	vi.ctx.Response.Header.Set(fasthttp.HeaderContentDisposition,
		fmt.Sprintf(`attachment; filename="lynxfold-version-%d.json"`, sn.Version))
	vi.ctx.SetBody(append(sn.Document.Encode(), '\n'))
}
