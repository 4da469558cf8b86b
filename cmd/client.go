package cmd

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/io/operator"
)

// apiTimeout bounds one request to a node's API.
const apiTimeout = 20 * time.Second

// ProblemError is a request that a node did not carry out.
type ProblemError struct {
	Status  int
	Problem operator.Problem
}

func (er *ProblemError) Error() string {
	return fmt.Sprintf("%s: %s", er.Problem.Reason, er.Problem.Detail)
}

// request makes one request to a node's API; answer may be nil.
func request(method, url string, body, answer any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(data)
	}
	cl := fasthttp.Client{
		ReadTimeout:               apiTimeout,
		WriteTimeout:              apiTimeout,
		MaxIdemponentCallAttempts: 1,
	}
	if err := cl.Do(req, resp); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		pe := &ProblemError{Status: resp.StatusCode()}
		if err := json.Unmarshal(resp.Body(), &pe.Problem); err != nil {
			pe.Problem.Detail = string(resp.Body())
		}
		return pe
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), answer)
}
