package platform

import (
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Config sets up a client of the platform.
type Config struct {
	TableURL  string
	ObjectURL string
	// Timeout bounds one request.
	Timeout time.Duration
}

// Client speaks to the platform. It never repeats a request by itself.
type Client struct {
	cfg  Config
	http *fasthttp.Client
}

// maxResponseBytes bounds an answer of the platform, in bytes.
const maxResponseBytes = 64 << 20

// NewClient builds a client.
func NewClient(cfg Config) *Client {
	return &Client{
		cfg: cfg,
		http: &fasthttp.Client{
			NoDefaultUserAgentHeader:  true,
			ReadTimeout:               cfg.Timeout,
			WriteTimeout:              cfg.Timeout,
			MaxConnWaitTimeout:        cfg.Timeout,
			MaxConnsPerHost:           16,
			MaxIdleConnDuration:       10 * time.Second,
			MaxResponseBodySize:       maxResponseBytes,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                neverRetry,
			Dial: func(addr string) (net.Conn, error) {
				return fasthttp.DialTimeout(addr, cfg.Timeout)
			},
		},
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// exchange makes one request; the response must be released by the caller.
func (cl *Client) exchange(method, uri string, body []byte, header ...[2]string) (*fasthttp.Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	for _, he := range header {
		req.Header.Set(he[0], he[1])
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := cl.http.Do(req, resp); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, err
	}
	return resp, nil
}

func statusError(resp *fasthttp.Response) error {
	body := resp.Body()
	return &StatusError{
		Status: resp.StatusCode(),
		Body:   string(body[:min(len(body), 200)]),
	}
}

func (cl *Client) rowURL(key Key) string {
	return cl.cfg.TableURL + "/table/rows/" + string(key)
}

// Read reads one row.
func (cl *Client) Read(key Key) (Row, error) {
	ro, _, err := cl.ReadIfChanged(key, "")
	return ro, err
}

// ReadIfChanged reads a row unless it is still in the given state.
func (cl *Client) ReadIfChanged(key Key, known ETag) (ro Row, changed bool, err error) {
	doing := "read row " + string(key)
	var header [][2]string
	if known != "" {
		header = append(header, [2]string{fasthttp.HeaderIfNoneMatch, string(known)})
	}
	resp, err := cl.exchange(fasthttp.MethodGet, cl.rowURL(key), nil, header...)
	if err != nil {
		return Row{}, false, &UnavailableError{Doing: doing, Err: err}
	}
	defer fasthttp.ReleaseResponse(resp)
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		ro = Row{
			Key:   key,
			ETag:  ETag(resp.Header.Peek(fasthttp.HeaderETag)),
			Value: append(json.RawMessage(nil), resp.Body()...),
		}
		return ro, true, nil
	case fasthttp.StatusNotModified:
		return Row{}, false, nil
	case fasthttp.StatusNotFound:
		return Row{}, false, &NotFoundError{Name: string(key)}
	}
	return Row{}, false, &UnavailableError{Doing: doing, Err: statusError(resp)}
}

// List reads rows whose key starts with a prefix and sorts after a key.
func (cl *Client) List(prefix, after Key, limit int) ([]Row, error) {
	doing := "list rows " + string(prefix)
	query := url.Values{
		"prefix": {string(prefix)},
		"after":  {string(after)},
		"limit":  {strconv.Itoa(limit)},
	}
	resp, err := cl.exchange(fasthttp.MethodGet, cl.cfg.TableURL+"/table/list?"+query.Encode(), nil)
	if err != nil {
		return nil, &UnavailableError{Doing: doing, Err: err}
	}
	defer fasthttp.ReleaseResponse(resp)
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, &UnavailableError{Doing: doing, Err: statusError(resp)}
	}
	var rows struct {
		Rows []Row `json:"rows"`
	}
	if err := json.Unmarshal(resp.Body(), &rows); err != nil {
		return nil, &UnavailableError{Doing: doing, Err: err}
	}
	return rows.Rows, nil
}

// Transact makes all writes or none. An InDoubtError says that the reply was lost.
func (cl *Client) Transact(writes []Write) error {
	const doing = "table transaction"
	body, err := json.Marshal(struct {
		Writes []Write `json:"writes"`
	}{
		Writes: writes,
	})
	if err != nil {
		return &UnavailableError{Doing: doing, Err: err}
	}
	resp, err := cl.exchange(fasthttp.MethodPost, cl.cfg.TableURL+"/table/transactions", body)
	if err != nil {
		return &InDoubtError{Doing: doing, Err: err}
	}
	defer fasthttp.ReleaseResponse(resp)
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusPreconditionFailed:
		return conflictOf(resp)
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests, fasthttp.StatusBadRequest:
		return &UnavailableError{Doing: doing, Err: statusError(resp)}
	}
	return &InDoubtError{Doing: doing, Err: statusError(resp)}
}

func conflictOf(resp *fasthttp.Response) error {
	var body struct {
		Key Key `json:"key"`
	}
	if err := json.Unmarshal(resp.Body(), &body); err != nil {
		return &InDoubtError{Doing: "table transaction", Err: err}
	}
	return &ConflictError{Key: body.Key}
}

// PutObject stores an object once; an object of that name that is there already is a success.
func (cl *Client) PutObject(name ObjectName, data []byte) error {
	doing := "put object " + string(name)
	resp, err := cl.exchange(fasthttp.MethodPut, cl.objectURL(name), data,
		[2]string{fasthttp.HeaderIfNoneMatch, "*"})
	if err != nil {
		return &InDoubtError{Doing: doing, Err: err}
	}
	defer fasthttp.ReleaseResponse(resp)
	switch resp.StatusCode() {
	case fasthttp.StatusCreated, fasthttp.StatusPreconditionFailed:
		return nil
	}
	return &UnavailableError{Doing: doing, Err: statusError(resp)}
}

// GetObject reads an object.
func (cl *Client) GetObject(name ObjectName) ([]byte, error) {
	doing := "get object " + string(name)
	resp, err := cl.exchange(fasthttp.MethodGet, cl.objectURL(name), nil)
	if err != nil {
		return nil, &UnavailableError{Doing: doing, Err: err}
	}
	defer fasthttp.ReleaseResponse(resp)
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return append([]byte(nil), resp.Body()...), nil
	case fasthttp.StatusNotFound:
		return nil, &NotFoundError{Name: string(name)}
	}
	return nil, &UnavailableError{Doing: doing, Err: statusError(resp)}
}

func (cl *Client) objectURL(name ObjectName) string {
	return cl.cfg.ObjectURL + "/objects/" + url.PathEscape(string(name))
}
