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

// pageName names a page of the console.
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
	pageDoubt    pageName = "doubt"
	pageAccepted pageName = "accepted"
	pageHistory  pageName = "history"
	pageMesh     pageName = "mesh"
	pageExplain  pageName = "explain"
)

var pages = parsePages(pageLogin, pageResume, pageDenied, pageOverview, pageForm, pageReview,
	pageWait, pageConflict, pageDoubt, pageAccepted, pageHistory, pageMesh, pageExplain)

func parsePages(names ...pageName) map[pageName]*template.Template {
	all := map[pageName]*template.Template{}
	for _, na := range names {
		te := template.New("layout.html").Funcs(template.FuncMap{
			"stamp":  stamp,
			"plural": plural,
			"inc":    inc,
		})
		all[na] = template.Must(te.ParseFS(pageFiles, "pages/layout.html", "pages/explained.html", "pages/"+string(na)+".html"))
	}
	return all
}

// stamp writes a time as operators of several data centres compare it.
func stamp(at time.Time) string { return at.UTC().Format("2006-01-02 15:04:05 UTC") }

// inc is the number after one, for the next column or version.
func inc(va any) uint64 {
	switch va := va.(type) {
	case int:
		return uint64(va) + 1
	case contract.Version:
		return uint64(va) + 1
	}
	return 0
}

// frame is what every page shows around its content.
type frame struct {
	Page       pageName
	Host       host.ID
	DataCentre datacentre.Name
	Version    contract.Version
	Operator   string
	MayChange  bool
	// Session is false when the mesh has no tokens or nobody has logged in.
	Session   bool
	FormToken string
	Draft     string
	Edits     string
	Notice    string
	Content   any
}

// policy lets a page load nothing but its own style, and sends forms only back here.
const policy = "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'"

func (vi *visit) render(na pageName, content any) {
	header := &vi.ctx.Response.Header
	header.Set(fasthttp.HeaderContentSecurityPolicy, policy)
	// A stricter policy would make browsers hide the origin of our own forms.
	header.Set(fasthttp.HeaderReferrerPolicy, "same-origin")
	header.Set(fasthttp.HeaderXContentTypeOptions, "nosniff")
	header.Set(fasthttp.HeaderCacheControl, "no-store")
	vi.ctx.SetContentType("text/html; charset=utf-8")
	vi.ctx.SetStatusCode(vi.status)
	err := pages[na].Execute(vi.ctx, frame{
		Page:       na,
		Host:       vi.server.cfg.Host,
		DataCentre: vi.server.cfg.DataCentre,
		Version:    vi.inForce().Version,
		Operator:   string(vi.operator.Name),
		MayChange:  vi.operator.MayChange(),
		Session:    !vi.server.guard.Open() && vi.operator.Name != "",
		FormToken:  vi.formToken(),
		Draft:      string(vi.draft.Encode()),
		Edits:      plural(vi.draft.Len(), "edit"),
		Notice:     vi.notice,
		Content:    content,
	})
	if err != nil {
		vi.server.cfg.Log.Error().Err(err).Str("page", string(na)).Msg("page failed")
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
