package operator

import (
	"embed"
	"html/template"
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

//go:embed pages
var pageFiles embed.FS

// pageName is the name of a page of the console and of its template file.
type pageName string

// Pages of the console.
const (
	pageLogin    pageName = "login"
	pageResume   pageName = "resume"
	pageDenied   pageName = "denied"
	pageOverview pageName = "overview"
	pageForm     pageName = "form"
	pageReview   pageName = "review"
	pageWait     pageName = "wait"
	pageConflict pageName = "conflict"
	pageInDoubt  pageName = "doubt"
	pageAccepted pageName = "accepted"
	pageHistory  pageName = "history"
	pageMesh     pageName = "mesh"
	pageExplain  pageName = "explain"
)

var pages = parsePages(pageLogin, pageResume, pageDenied, pageOverview, pageForm, pageReview,
	pageWait, pageConflict, pageInDoubt, pageAccepted, pageHistory, pageMesh, pageExplain)

func parsePages(names ...pageName) map[pageName]*template.Template {
	all := map[pageName]*template.Template{}
	for _, na := range names {
		te := template.New("layout.html").Funcs(template.FuncMap{
			"stamp":  formatTime,
			"plural": plural,
			"inc":    inc,
		})
		all[na] = template.Must(te.ParseFS(pageFiles, "pages/layout.html", "pages/explained.html", "pages/"+string(na)+".html"))
	}
	return all
}

// formatTime formats a time in UTC, so that operators in different data centres can
// compare times.
func formatTime(at time.Time) string { return at.UTC().Format("2006-01-02 15:04:05 UTC") }

// inc returns the number or version after va; templates cannot add.
func inc(va any) uint64 {
	switch va := va.(type) {
	case int:
		return uint64(va) + 1
	case contract.Version:
		return uint64(va) + 1
	}
	return 0
}

// layoutData is the data of the layout that surrounds the content of every page.
type layoutData struct {
	Page       pageName
	Host       host.ID
	DataCentre datacentre.Name
	Version    contract.Version
	Operator   string
	MayChange  bool
	// LoggedIn reports whether the operator logged in with a token; false if no tokens are
	// configured.
	LoggedIn  bool
	CSRFToken string
	// Draft is the encoded draft.
	Draft string
	// Edits is the number of edits in the draft as text, such as "2 edits".
	Edits   string
	Notice  string
	Content any
}

// contentSecurityPolicy allows only the console's own style sheet and forms that post to
// the console.
const contentSecurityPolicy = "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'"

func (cr *consoleRequest) render(na pageName, content any) {
	header := &cr.ctx.Response.Header
	header.Set(fasthttp.HeaderContentSecurityPolicy, contentSecurityPolicy)
	// A stricter policy would make browsers hide the Origin of the console's own forms.
	header.Set(fasthttp.HeaderReferrerPolicy, "same-origin")
	header.Set(fasthttp.HeaderXContentTypeOptions, "nosniff")
	header.Set(fasthttp.HeaderCacheControl, "no-store")
	cr.ctx.SetContentType("text/html; charset=utf-8")
	cr.ctx.SetStatusCode(cr.status)
	err := pages[na].Execute(cr.ctx, layoutData{
		Page:       na,
		Host:       cr.server.cfg.Host,
		DataCentre: cr.server.cfg.DataCentre,
		Version:    cr.activeConfig().Version,
		Operator:   string(cr.operator.Name),
		MayChange:  cr.operator.MayChange(),
		LoggedIn:   !cr.server.authenticator.Disabled() && cr.operator.Name != "",
		CSRFToken:  cr.csrfToken(),
		Draft:      string(cr.draft.Encode()),
		Edits:      plural(cr.draft.Len(), "edit"),
		Notice:     cr.notice,
		Content:    content,
	})
	if err != nil {
		cr.server.cfg.Log.Error().Err(err).Str("page", string(na)).Msg("page failed")
	}
}

func getStyle(ctx *fasthttp.RequestCtx) {
	data, err := pageFiles.ReadFile("pages/style.css")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("text/css; charset=utf-8")
	ctx.SetBody(data)
}
