package operator

import (
	"maps"
	"net/url"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/draft"
	"lynxfold/io/operator/access"
)

// Paths of the console.
const (
	pathConsole = "/console"
	pathLogin   = "/console/login"
)

// Names of cookies and of fields that every form carries.
const (
	cookieToken  = "lynxfold_token"
	cookieForm   = "lynxfold_form"
	fieldForm    = "form_token"
	fieldDraft   = "draft"
	fieldGo      = "go"
	fieldResume  = "resume"
	fieldSubmit  = "submission"
	fieldConfirm = "confirm"
)

// visit is one request to the console.
type visit struct {
	server   *Server
	ctx      *fasthttp.RequestCtx
	operator access.Operator
	view     *datacentre.View
	draft    *draft.Draft
	// notice is shown above the page.
	notice string
	status int
}

// console lets a request through when its browser has logged in; posts need the
// form token too.
func (sv *Server) console(next func(vi *visit)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		vi := &visit{
			server: sv,
			ctx:    ctx,
			view:   sv.cfg.View(),
			status: fasthttp.StatusOK,
		}
		vi.draft = draft.New(vi.view.Config.Version)
		op, err := sv.identify(ctx, vi.cookie(cookieToken))
		vi.operator = op
		if err == nil && ctx.IsPost() {
			err = access.CheckForm(vi.cookie(cookieForm), vi.cookie(cookieToken), vi.typed(fieldForm))
		}
		if err != nil {
			vi.refuse(err)
			return
		}
		next(vi)
	}
}

func (vi *visit) cookie(name string) string { return string(vi.ctx.Request.Header.Cookie(name)) }

func (vi *visit) typed(name string) string { return string(vi.ctx.PostArgs().Peek(name)) }

// inForce is the configuration that this node has in force.
func (vi *visit) inForce() *contract.Snapshot { return vi.view.Config }

// document is the configuration in force with the draft's edits.
func (vi *visit) document() *contract.Document { return vi.draft.Apply(vi.inForce().Document) }

// upstreams counts the usable upstreams of each service.
func (vi *visit) upstreams() map[contract.ServiceName]int {
	counts := map[contract.ServiceName]int{}
	for na, ups := range vi.view.Upstreams {
		counts[na] = len(ups)
	}
	return counts
}

// refuse shows the login page, or why the request may not be made. What was
// typed goes along, so that it is there again after the login.
func (vi *visit) refuse(err error) {
	de := vi.server.denied(vi.ctx, err)
	vi.status = statusOfDenied(de)
	if vi.status != fasthttp.StatusUnauthorized {
		vi.render(pageDenied, deniedText[de.Reason])
		return
	}
	text := ""
	if de.Reason == access.ReasonWrongToken {
		text = deniedText[de.Reason]
	}
	vi.render(pageLogin, loginPage{
		Error:  text,
		Resume: vi.posted(),
	})
}

// posted is the form that was sent, without its token; empty when none was.
func (vi *visit) posted() string {
	if !vi.ctx.IsPost() {
		return ""
	}
	form, err := url.ParseQuery(string(vi.ctx.PostBody()))
	if err != nil {
		return ""
	}
	form.Del(fieldForm)
	return form.Encode()
}

// loginPage is the content of the login page.
type loginPage struct {
	Error string
	// Resume is the form that was sent before the login, URL-encoded.
	Resume string
}

func (sv *Server) getLogin(ctx *fasthttp.RequestCtx) {
	vi := &visit{server: sv, ctx: ctx, view: sv.cfg.View(), status: fasthttp.StatusOK}
	vi.draft = draft.New(vi.view.Config.Version)
	vi.render(pageLogin, loginPage{})
}

// postLogin keeps the token in a cookie that no script can read.
func (sv *Server) postLogin(ctx *fasthttp.RequestCtx) {
	vi := &visit{server: sv, ctx: ctx, view: sv.cfg.View(), status: fasthttp.StatusOK}
	vi.draft = draft.New(vi.view.Config.Version)
	secret := strings.TrimSpace(vi.typed("token"))
	_, err := sv.identify(ctx, secret)
	if err != nil {
		de := sv.denied(ctx, err)
		vi.status = statusOfDenied(de)
		vi.render(pageLogin, loginPage{
			Error:  deniedText[de.Reason],
			Resume: vi.typed(fieldResume),
		})
		return
	}
	vi.setCookie(cookieToken, secret)
	ctx.Request.Header.SetCookie(cookieToken, secret)
	resume, err := url.ParseQuery(vi.typed(fieldResume))
	if err != nil || len(resume) == 0 {
		redirect(ctx, pathConsole)
		return
	}
	vi.render(pageResume, resumeFields(resume))
}

// resumeField is one field of the form that was sent before the login.
type resumeField struct {
	Name  string
	Value string
}

func resumeFields(form url.Values) []resumeField {
	var fields []resumeField
	for _, name := range slices.Sorted(maps.Keys(form)) {
		for _, va := range form[name] {
			fields = append(fields, resumeField{Name: name, Value: va})
		}
	}
	return fields
}

func (sv *Server) postLogout(vi *visit) {
	vi.setCookie(cookieToken, "")
	redirect(vi.ctx, pathLogin)
}

// setCookie sets a cookie for the time that the browser is open; an empty value ends it.
func (vi *visit) setCookie(name, value string) {
	co := fasthttp.AcquireCookie()
	defer fasthttp.ReleaseCookie(co)
	co.SetKey(name)
	co.SetValue(value)
	co.SetPath("/")
	co.SetHTTPOnly(true)
	co.SetSameSite(fasthttp.CookieSameSiteStrictMode)
	co.SetSecure(vi.server.cfg.KeyPair != nil)
	if value == "" {
		co.SetExpire(fasthttp.CookieExpireDelete)
	}
	vi.ctx.Response.Header.SetCookie(co)
}

// formToken is the token of this browser's forms; the secret that it comes from
// is made on the first page.
func (vi *visit) formToken() string {
	secret := vi.cookie(cookieForm)
	if secret == "" {
		secret = access.NewSecret()
		vi.setCookie(cookieForm, secret)
	}
	return access.FormToken(secret, vi.cookie(cookieToken))
}

func (sv *Server) getOverview(vi *visit) { vi.overview() }

// postConsole carries out the button that was pressed. Every form holds the
// whole draft, so that any node can answer.
func (sv *Server) postConsole(vi *visit) {
	if text := vi.typed(fieldDraft); text != "" {
		dr, err := draft.Parse([]byte(text))
		if err != nil {
			vi.status = fasthttp.StatusBadRequest
			vi.notice = "The draft in the form can't be read: " + err.Error()
			vi.overview()
			return
		}
		vi.draft = dr
	}
	action, rest, _ := strings.Cut(vi.typed(fieldGo), ":")
	if handle, ok := actions[action]; ok {
		handle(vi, rest)
		return
	}
	vi.overview()
}

// actions are the console's buttons; the rest of a button's value names an item
// as KIND:NAME or a version.
var actions map[string]func(vi *visit, rest string)

func init() {
	actions = map[string]func(vi *visit, rest string){
		"new":      (*visit).newItem,
		"edit":     (*visit).editItem,
		"keep":     (*visit).keepItem,
		"remove":   (*visit).removeItem,
		"undo":     (*visit).undoItem,
		"review":   func(vi *visit, _ string) { vi.review() },
		"discard":  func(vi *visit, _ string) { vi.discard() },
		"accept":   func(vi *visit, _ string) { vi.accept() },
		"ask":      func(vi *visit, _ string) { vi.accept() },
		"carry":    func(vi *visit, _ string) { vi.carry() },
		"history":  (*visit).historyFrom,
		"rollback": (*visit).rollBack,
		"mesh":     func(vi *visit, _ string) { vi.showMesh() },
		"explain":  func(vi *visit, _ string) { vi.explain() },
	}
}

func redirect(ctx *fasthttp.RequestCtx, path string) {
	ctx.Response.Header.Set(fasthttp.HeaderLocation, path)
	ctx.SetStatusCode(fasthttp.StatusSeeOther)
}

// itemOf reads KIND:NAME.
func itemOf(rest string) draft.Item {
	kind, name, _ := strings.Cut(rest, ":")
	return draft.Item{
		Kind: draft.ItemKind(kind),
		Name: name,
	}
}

// fieldErrors are the faults of a document; nil when it is valid.
func fieldErrors(doc *contract.Document) []contract.FieldError {
	var invalid *contract.ValidationError
	if errors.As(doc.Validate(), &invalid) {
		return invalid.Fields
	}
	return nil
}
