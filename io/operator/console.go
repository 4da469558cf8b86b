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

// Names of the cookies, and of the form fields that the pages have in common.
const (
	cookieToken      = "lynxfold_token"
	cookieCSRFSecret = "lynxfold_form"
	fieldCSRFToken   = "form_token"
	fieldDraft       = "draft"
	fieldAction      = "go"
	fieldResume      = "resume"
	fieldSubmission  = "submission"
	fieldConfirm     = "confirm"
)

// consoleRequest is the state of one request to the console.
type consoleRequest struct {
	server   *Server
	ctx      *fasthttp.RequestCtx
	operator access.Operator
	view     *datacentre.View
	draft    *draft.Draft
	// notice is shown above the content of the page.
	notice string
	status int
}

// authorizeConsole calls next if the token cookie of the request is valid. A POST needs
// the CSRF token of the browser as well.
func (sv *Server) authorizeConsole(next func(cr *consoleRequest)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		cr := &consoleRequest{
			server: sv,
			ctx:    ctx,
			view:   sv.cfg.View(),
			status: fasthttp.StatusOK,
		}
		cr.draft = draft.New(cr.view.Config.Version)
		op, err := sv.authenticate(ctx, cr.cookie(cookieToken))
		cr.operator = op
		if err == nil && ctx.IsPost() {
			err = access.CheckCSRFToken(cr.cookie(cookieCSRFSecret), cr.cookie(cookieToken), cr.formValue(fieldCSRFToken))
		}
		if err != nil {
			cr.showDenied(err)
			return
		}
		next(cr)
	}
}

func (cr *consoleRequest) cookie(name string) string {
	return string(cr.ctx.Request.Header.Cookie(name))
}

func (cr *consoleRequest) formValue(name string) string { return string(cr.ctx.PostArgs().Peek(name)) }

// activeConfig returns the configuration that is active on this node.
func (cr *consoleRequest) activeConfig() *contract.Snapshot { return cr.view.Config }

// draftDocument returns the active configuration with the edits of the draft applied.
func (cr *consoleRequest) draftDocument() *contract.Document {
	return cr.draft.Apply(cr.activeConfig().Document)
}

// usableUpstreams counts the usable upstreams of each service.
func (cr *consoleRequest) usableUpstreams() map[contract.ServiceName]int {
	counts := map[contract.ServiceName]int{}
	for na, ups := range cr.view.Upstreams {
		counts[na] = len(ups)
	}
	return counts
}

// showDenied shows the login page, or the reason of the denial if a login would not
// help. The submitted form is kept in the login page, so that the operator can continue
// with it after the login.
func (cr *consoleRequest) showDenied(err error) {
	de := cr.server.recordDenial(cr.ctx, err)
	cr.status = denialStatus(de)
	if cr.status != fasthttp.StatusUnauthorized {
		cr.render(pageDenied, denialText[de.Reason])
		return
	}
	text := ""
	if de.Reason == access.ReasonWrongToken {
		text = denialText[de.Reason]
	}
	cr.render(pageLogin, loginPage{
		Error:  text,
		Resume: cr.submittedForm(),
	})
}

// submittedForm returns the submitted form, URL-encoded and without its CSRF token; empty
// if the request is not a POST.
func (cr *consoleRequest) submittedForm() string {
	if !cr.ctx.IsPost() {
		return ""
	}
	form, err := url.ParseQuery(string(cr.ctx.PostBody()))
	if err != nil {
		return ""
	}
	form.Del(fieldCSRFToken)
	return form.Encode()
}

// loginPage is the content of the login page.
type loginPage struct {
	Error string
	// Resume is the form that was submitted before the login, URL-encoded.
	Resume string
}

func (sv *Server) getLogin(ctx *fasthttp.RequestCtx) {
	cr := &consoleRequest{server: sv, ctx: ctx, view: sv.cfg.View(), status: fasthttp.StatusOK}
	cr.draft = draft.New(cr.view.Config.Version)
	cr.render(pageLogin, loginPage{})
}

// postLogin stores the token in an HttpOnly cookie, which scripts cannot read.
func (sv *Server) postLogin(ctx *fasthttp.RequestCtx) {
	cr := &consoleRequest{server: sv, ctx: ctx, view: sv.cfg.View(), status: fasthttp.StatusOK}
	cr.draft = draft.New(cr.view.Config.Version)
	secret := strings.TrimSpace(cr.formValue("token"))
	_, err := sv.authenticate(ctx, secret)
	if err != nil {
		de := sv.recordDenial(ctx, err)
		cr.status = denialStatus(de)
		cr.render(pageLogin, loginPage{
			Error:  denialText[de.Reason],
			Resume: cr.formValue(fieldResume),
		})
		return
	}
	cr.setCookie(cookieToken, secret)
	ctx.Request.Header.SetCookie(cookieToken, secret)
	resume, err := url.ParseQuery(cr.formValue(fieldResume))
	if err != nil || len(resume) == 0 {
		redirect(ctx, pathConsole)
		return
	}
	cr.render(pageResume, resumeFields(resume))
}

// resumeField is one field of the form that was submitted before the login.
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

func (sv *Server) postLogout(cr *consoleRequest) {
	cr.setCookie(cookieToken, "")
	redirect(cr.ctx, pathLogin)
}

// setCookie sets a session cookie; an empty value deletes it.
func (cr *consoleRequest) setCookie(name, value string) {
	co := fasthttp.AcquireCookie()
	defer fasthttp.ReleaseCookie(co)
	co.SetKey(name)
	co.SetValue(value)
	co.SetPath("/")
	co.SetHTTPOnly(true)
	co.SetSameSite(fasthttp.CookieSameSiteStrictMode)
	co.SetSecure(cr.server.cfg.KeyPair != nil)
	if value == "" {
		co.SetExpire(fasthttp.CookieExpireDelete)
	}
	cr.ctx.Response.Header.SetCookie(co)
}

// csrfToken returns the CSRF token of the browser. The first page sets the cookie with
// the secret that it is derived from.
func (cr *consoleRequest) csrfToken() string {
	secret := cr.cookie(cookieCSRFSecret)
	if secret == "" {
		secret = access.NewSecret()
		cr.setCookie(cookieCSRFSecret, secret)
	}
	return access.CSRFToken(secret, cr.cookie(cookieToken))
}

func (sv *Server) getOverview(cr *consoleRequest) { cr.showOverview() }

// postConsole runs the action of the button that was pressed. Every form carries the
// whole draft, so that any node can handle the request.
func (sv *Server) postConsole(cr *consoleRequest) {
	if text := cr.formValue(fieldDraft); text != "" {
		dr, err := draft.Parse([]byte(text))
		if err != nil {
			cr.status = fasthttp.StatusBadRequest
			cr.notice = "The draft in the form can't be read: " + err.Error()
			cr.showOverview()
			return
		}
		cr.draft = dr
	}
	action, arg, _ := strings.Cut(cr.formValue(fieldAction), ":")
	if handle, ok := actions[action]; ok {
		handle(cr, arg)
		return
	}
	cr.showOverview()
}

// actions maps the buttons of the console to their handlers. The argument after the
// colon of a button's value is an item as KIND:NAME or a version.
var actions map[string]func(cr *consoleRequest, arg string)

func init() {
	actions = map[string]func(cr *consoleRequest, arg string){
		"new":      (*consoleRequest).newItem,
		"edit":     (*consoleRequest).editItem,
		"keep":     (*consoleRequest).saveItem,
		"remove":   (*consoleRequest).removeItem,
		"undo":     (*consoleRequest).undoItem,
		"review":   func(cr *consoleRequest, _ string) { cr.reviewDraft() },
		"discard":  func(cr *consoleRequest, _ string) { cr.discardDraft() },
		"accept":   func(cr *consoleRequest, _ string) { cr.acceptDraft() },
		"ask":      func(cr *consoleRequest, _ string) { cr.acceptDraft() },
		"carry":    func(cr *consoleRequest, _ string) { cr.resolveConflicts() },
		"history":  (*consoleRequest).showHistoryBelow,
		"rollback": (*consoleRequest).rollBack,
		"mesh":     func(cr *consoleRequest, _ string) { cr.showMesh() },
		"explain":  func(cr *consoleRequest, _ string) { cr.showExplanation() },
	}
}

func redirect(ctx *fasthttp.RequestCtx, path string) {
	ctx.Response.Header.Set(fasthttp.HeaderLocation, path)
	ctx.SetStatusCode(fasthttp.StatusSeeOther)
}

// parseItem parses KIND:NAME.
func parseItem(arg string) draft.Item {
	kind, name, _ := strings.Cut(arg, ":")
	return draft.Item{
		Kind: draft.ItemKind(kind),
		Name: name,
	}
}

// fieldErrors returns the validation errors of a document; nil if it is valid.
func fieldErrors(doc *contract.Document) []contract.FieldError {
	var invalid *contract.ValidationError
	if errors.As(doc.Validate(), &invalid) {
		return invalid.Fields
	}
	return nil
}
