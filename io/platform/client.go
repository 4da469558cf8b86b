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

// Config configures a Client.
type Config struct {
	TableURL  string
	ObjectURL string
	// Timeout limits one request; the context may set an earlier deadline.
	Timeout time.Duration
	// OnRequestDone is called at the end of each request; it may be nil.
	OnRequestDone func(RequestResult)
}

// Client implements Store over the native protocol.
type Client struct {
	*Transport
	cfg Config
}

// NewClient returns a client of the given table and object store.
func NewClient(cfg Config) *Client {
	return &Client{
		Transport: NewTransport(cfg.Timeout, cfg.OnRequestDone),
		cfg:       cfg,
	}
}

// send sends one request; the caller must release the response.
func (cl *Client) send(ctx context.Context, method, uri string, body []byte, header ...[2]string) (*fasthttp.Response, error) {
	return cl.Do(ctx, Request{
		Method: method,
		URL:    uri,
		Body:   body,
		Header: header,
	})
}

// ClassifyWriteError returns the error of a write that got no response: an
// UnavailableError if the write was never sent, else an InDoubtError.
func ClassifyWriteError(op string, err error) error {
	var dial *DialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &UnavailableError{Op: op, Err: err}
	}
	return &InDoubtError{Op: op, Err: err}
}

// NewStatusError returns a StatusError for an unexpected response.
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

// ReadIfChanged reads a row; changed is false if its ETag is still the known one.
func (cl *Client) ReadIfChanged(ctx context.Context, key Key, known ETag) (ro Row, changed bool, err error) {
	op := "read row " + string(key)
	var header [][2]string
	if known != "" {
		header = append(header, [2]string{fasthttp.HeaderIfNoneMatch, string(known)})
	}
	resp, err := cl.send(ctx, fasthttp.MethodGet, cl.rowURL(key), nil, header...)
	if err != nil {
		return Row{}, false, &UnavailableError{Op: op, Err: err}
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
	return Row{}, false, &UnavailableError{Op: op, Err: NewStatusError(resp)}
}

// List reads the first rows, in the order of their keys, whose keys begin with prefix
// and sort after the key after.
func (cl *Client) List(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	op := "list rows " + string(prefix)
	query := url.Values{
		"prefix": {string(prefix)},
		"after":  {string(after)},
		"limit":  {strconv.Itoa(limit)},
	}
	resp, err := cl.send(ctx, fasthttp.MethodGet, cl.cfg.TableURL+"/table/list?"+query.Encode(), nil)
	if err != nil {
		return nil, &UnavailableError{Op: op, Err: err}
	}
	defer fasthttp.ReleaseResponse(resp)
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, &UnavailableError{Op: op, Err: NewStatusError(resp)}
	}
	var rows struct {
		Rows []Row `json:"rows"`
	}
	if err := json.Unmarshal(resp.Body(), &rows); err != nil {
		return nil, &UnavailableError{Op: op, Err: err}
	}
	return rows.Rows, nil
}

// Transact applies all writes or none and returns the new ETags of the rows, in
// the order of the writes. It fails with a ConflictError or an UnavailableError
// if nothing was written, and with an InDoubtError if the outcome is unknown.
func (cl *Client) Transact(ctx context.Context, writes []Write) ([]ETag, error) {
	const op = "table transaction"
	body, err := json.Marshal(struct {
		Writes []Write `json:"writes"`
	}{
		Writes: writes,
	})
	if err != nil {
		return nil, &UnavailableError{Op: op, Err: err}
	}
	resp, err := cl.send(ctx, fasthttp.MethodPost, cl.cfg.TableURL+"/table/transactions", body)
	if err != nil {
		return nil, ClassifyWriteError(op, err)
	}
	defer fasthttp.ReleaseResponse(resp)
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return parseETags(resp, len(writes))
	case fasthttp.StatusPreconditionFailed:
		return nil, parseConflict(resp)
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests, fasthttp.StatusBadRequest:
		return nil, &UnavailableError{Op: op, Err: NewStatusError(resp)}
	}
	return nil, &InDoubtError{Op: op, Err: NewStatusError(resp)}
}

func parseETags(resp *fasthttp.Response, count int) ([]ETag, error) {
	var body struct {
		ETags []ETag `json:"etags"`
	}
	if err := json.Unmarshal(resp.Body(), &body); err != nil || len(body.ETags) != count {
		return nil, &InDoubtError{Op: "table transaction", Err: NewStatusError(resp)}
	}
	return body.ETags, nil
}

func parseConflict(resp *fasthttp.Response) error {
	var body struct {
		Key Key `json:"key"`
	}
	if err := json.Unmarshal(resp.Body(), &body); err != nil {
		return &InDoubtError{Op: "table transaction", Err: err}
	}
	return &ConflictError{Key: body.Key}
}

// PutObject stores an object. If an object of that name already exists, it keeps that
// one and succeeds.
func (cl *Client) PutObject(ctx context.Context, name ObjectName, data []byte) error {
	op := "put object " + string(name)
	resp, err := cl.send(ctx, fasthttp.MethodPut, cl.objectURL(name), data,
		[2]string{fasthttp.HeaderIfNoneMatch, "*"})
	if err != nil {
		return ClassifyWriteError(op, err)
	}
	defer fasthttp.ReleaseResponse(resp)
	switch resp.StatusCode() {
	case fasthttp.StatusCreated, fasthttp.StatusPreconditionFailed:
		return nil
	}
	return &UnavailableError{Op: op, Err: NewStatusError(resp)}
}

// GetObject reads an object.
func (cl *Client) GetObject(ctx context.Context, name ObjectName) ([]byte, error) {
	op := "get object " + string(name)
	resp, err := cl.send(ctx, fasthttp.MethodGet, cl.objectURL(name), nil)
	if err != nil {
		return nil, &UnavailableError{Op: op, Err: err}
	}
	defer fasthttp.ReleaseResponse(resp)
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return append([]byte(nil), resp.Body()...), nil
	case fasthttp.StatusNotFound:
		return nil, &NotFoundError{Name: string(name)}
	}
	return nil, &UnavailableError{Op: op, Err: NewStatusError(resp)}
}

func (cl *Client) objectURL(name ObjectName) string {
	return cl.cfg.ObjectURL + "/objects/" + url.PathEscape(string(name))
}
