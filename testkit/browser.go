package testkit

import (
	"fmt"
	"html"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Browser drives a console like a web browser with scripts disabled: it keeps
// cookies and submits the hidden fields of the current page.
type Browser struct {
	T      testing.TB
	Base   string
	Status int
	Body   string
	client *http.Client
	// referrerPolicy is the Referrer-Policy of the current page.
	referrerPolicy string
}

// NewBrowser returns a browser for the console at a base URL, with no page loaded.
func NewBrowser(t testing.TB, base string) *Browser {
	t.Helper()
	jar, err := cookiejar.New(nil)
	assert.NilError(t, err)
	return &Browser{
		T:    t,
		Base: base,
		client: &http.Client{
			Jar:     jar,
			Timeout: 30 * time.Second,
		},
	}
}

// Get loads a page.
func (br *Browser) Get(path string) {
	br.T.Helper()
	resp, err := br.client.Get(br.Base + path)
	assert.NilError(br.T, err)
	br.read(resp)
}

// Press submits the current page's form with a button. fields holds alternating
// names and values of the fields to fill in.
func (br *Browser) Press(button string, fields ...string) {
	br.T.Helper()
	form := br.hidden()
	form.Set("go", button)
	for i := 0; i < len(fields); i += 2 {
		form.Set(fields[i], fields[i+1])
	}
	br.Post("/console", form)
}

// Post submits a form.
func (br *Browser) Post(path string, form url.Values) {
	br.T.Helper()
	req, err := http.NewRequest(http.MethodPost, br.Base+path, strings.NewReader(form.Encode()))
	assert.NilError(br.T, err)
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	req.Header.Set("Origin", br.origin())
	resp, err := br.client.Do(req)
	assert.NilError(br.T, err)
	br.read(resp)
}

// origin returns the Origin header for a form. Like browsers, it is "null" if the
// page's Referrer-Policy is no-referrer.
func (br *Browser) origin() string {
	if br.referrerPolicy == "no-referrer" {
		return "null"
	}
	return br.Base
}

// Login submits the login form of the current page.
func (br *Browser) Login(token string) {
	br.T.Helper()
	form := br.hidden()
	form.Set("token", token)
	br.Post("/console/login", form)
}

// HiddenFields returns the hidden form fields of the current page.
func (br *Browser) HiddenFields() url.Values { return br.hidden() }

func (br *Browser) read(resp *http.Response) {
	br.T.Helper()
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(br.T, err)
	br.Status, br.Body = resp.StatusCode, string(body)
	br.referrerPolicy = resp.Header.Get("Referrer-Policy")
}

var (
	hiddenPattern = regexp.MustCompile(`<input type="hidden" name="([^"]*)" value="([^"]*)">`)
	tokenPattern  = regexp.MustCompile(`(name="form_token" value=")[0-9a-f]+`)
	spacePattern  = regexp.MustCompile(`\s+`)
	mainPattern   = regexp.MustCompile(`(?s)<main id="main">(.*)</main>`)
)

func (br *Browser) hidden() url.Values {
	form := url.Values{}
	for _, ma := range hiddenPattern.FindAllStringSubmatch(br.Body, -1) {
		form.Set(ma[1], html.UnescapeString(ma[2]))
	}
	return form
}

// MainContent returns the status and the main element of the page, one line per element.
// Form tokens are masked, as they differ between runs.
func (br *Browser) MainContent() string {
	body := br.Body
	if ma := mainPattern.FindStringSubmatch(body); ma != nil {
		body = ma[1]
	}
	body = spacePattern.ReplaceAllString(tokenPattern.ReplaceAllString(body, "${1}*"), " ")
	body = strings.ReplaceAll(body, "> <", ">\n<")
	return fmt.Sprintf("%d\n%s\n", br.Status, strings.TrimSpace(body))
}
