package platform

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Config sets up a client of the platform.
type Config struct {
	TableURL  string
	ObjectURL string
	// Timeout bounds one request; a context may bound it further.
	Timeout time.Duration
	// Exchanged is told how each request ended; it may be nil.
	Exchanged func(method, outcome string)
}

// Client speaks to the platform through its own protocol.
type Client struct {
	*Transport
	cfg Config
}

// NewClient builds a client.
func NewClient(cfg Config) *Client {
	return &Client{
		Transport: NewTransport(cfg.Timeout, cfg.Exchanged),
		cfg:       cfg,
	}
}

// exchange makes one request; the response must be released by the caller.
func (cl *Client) exchange(ctx context.Context, method, uri string, body []byte, header ...[2]string) (*fasthttp.Response, error) {
	return cl.Exchange(ctx, Exchange{
		Method: method,
		URL:    uri,
		Body:   body,
		Header: header,
	})
}

// WriteError tells a write that was never sent from one without an answer.
func WriteError(doing string, err error) error {
	var dial *DialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &UnavailableError{Doing: doing, Err: err}
	}
	return &InDoubtError{Doing: doing, Err: err}
}

// NewStatusError reports the status of an answer that was not expected.
func NewStatusError(resp *fasthttp.Response) error {
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
func (cl *Client) Read(ctx context.Context, key Key) (Row, error) {
	ro, _, err := cl.ReadIfChanged(ctx, key, "")
	return ro, err
}

// ReadIfChanged reads a row unless it is still in the given state.
func (cl *Client) ReadIfChanged(ctx context.Context, key Key, known ETag) (ro Row, changed bool, err error) {
	doing := "read row " + string(key)
	var header [][2]string
	if known != "" {
		header = append(header, [2]string{fasthttp.HeaderIfNoneMatch, string(known)})
	}
	resp, err := cl.exchange(ctx, fasthttp.MethodGet, cl.rowURL(key), nil, header...)
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
	return Row{}, false, &UnavailableError{Doing: doing, Err: NewStatusError(resp)}
}

// List reads rows whose key starts with a prefix and sorts after a key.
func (cl *Client) List(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	doing := "list rows " + string(prefix)
	query := url.Values{
		"prefix": {string(prefix)},
		"after":  {string(after)},
		"limit":  {strconv.Itoa(limit)},
	}
	resp, err := cl.exchange(ctx, fasthttp.MethodGet, cl.cfg.TableURL+"/table/list?"+query.Encode(), nil)
	if err != nil {
		return nil, &UnavailableError{Doing: doing, Err: err}
	}
	defer fasthttp.ReleaseResponse(resp)
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, &UnavailableError{Doing: doing, Err: NewStatusError(resp)}
	}
	var rows struct {
		Rows []Row `json:"rows"`
	}
	if err := json.Unmarshal(resp.Body(), &rows); err != nil {
		return nil, &UnavailableError{Doing: doing, Err: err}
	}
	return rows.Rows, nil
}

// Transact makes all writes or none and returns the new states of the rows, in
// the order of the writes. It fails with a ConflictError or an UnavailableError
// when nothing was written, and with an InDoubtError when the reply was lost.
func (cl *Client) Transact(ctx context.Context, writes []Write) ([]ETag, error) {
	const doing = "table transaction"
	body, err := json.Marshal(struct {
		Writes []Write `json:"writes"`
	}{
		Writes: writes,
	})
	if err != nil {
		return nil, &UnavailableError{Doing: doing, Err: err}
	}
	resp, err := cl.exchange(ctx, fasthttp.MethodPost, cl.cfg.TableURL+"/table/transactions", body)
	if err != nil {
		return nil, WriteError(doing, err)
	}
	defer fasthttp.ReleaseResponse(resp)
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return etagsOf(resp, len(writes))
	case fasthttp.StatusPreconditionFailed:
		return nil, conflictOf(resp)
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests, fasthttp.StatusBadRequest:
		return nil, &UnavailableError{Doing: doing, Err: NewStatusError(resp)}
	}
	return nil, &InDoubtError{Doing: doing, Err: NewStatusError(resp)}
}

func etagsOf(resp *fasthttp.Response, count int) ([]ETag, error) {
	var body struct {
		ETags []ETag `json:"etags"`
	}
	if err := json.Unmarshal(resp.Body(), &body); err != nil || len(body.ETags) != count {
		return nil, &InDoubtError{Doing: "table transaction", Err: NewStatusError(resp)}
	}
	return body.ETags, nil
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
func (cl *Client) PutObject(ctx context.Context, name ObjectName, data []byte) error {
	doing := "put object " + string(name)
	resp, err := cl.exchange(ctx, fasthttp.MethodPut, cl.objectURL(name), data,
		[2]string{fasthttp.HeaderIfNoneMatch, "*"})
	if err != nil {
		return WriteError(doing, err)
	}
	defer fasthttp.ReleaseResponse(resp)
	switch resp.StatusCode() {
	case fasthttp.StatusCreated, fasthttp.StatusPreconditionFailed:
		return nil
	}
	return &UnavailableError{Doing: doing, Err: NewStatusError(resp)}
}

// GetObject reads an object.
func (cl *Client) GetObject(ctx context.Context, name ObjectName) ([]byte, error) {
	doing := "get object " + string(name)
	resp, err := cl.exchange(ctx, fasthttp.MethodGet, cl.objectURL(name), nil)
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
	return nil, &UnavailableError{Doing: doing, Err: NewStatusError(resp)}
}

func (cl *Client) objectURL(name ObjectName) string {
	return cl.cfg.ObjectURL + "/objects/" + url.PathEscape(string(name))
}
