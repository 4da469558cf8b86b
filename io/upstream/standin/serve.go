package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/io/tcp"
)

// Run is a ledger entry for a call that the upstream ran.
type Run struct {
	Call   string `json:"call"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Index is the position of the entry in the ledger, from 0.
	Index int `json:"attempt"`
	// Bytes is the length of the request's body.
	Bytes     int       `json:"bytes"`
	StartedAt time.Time `json:"started_at"`
	// FinishedAt is when the response was ready; zero while the call runs.
	FinishedAt time.Time `json:"finished_at,omitzero"`
	// Customer is the customer that the request names, and HasKey reports that it has an
	// Authorization header.
	Customer string `json:"customer,omitempty"`
	HasKey   bool   `json:"has_key,omitempty"`
	// Cancelled reports that the connection closed while the call ran.
	Cancelled bool `json:"cancelled,omitempty"`
	// CrashedAt is when the call crashed the server; zero if it did not.
	CrashedAt time.Time `json:"crashed_at,omitzero"`
}

// Query parameters that control the response to a call.
const (
	// ParamBytes is the length of the response body, in bytes; the body repeats the call's id.
	ParamBytes = "bytes"
	// ParamChunked enables chunked transfer encoding.
	ParamChunked = "chunked"
	// ParamTruncate closes the connection after half of the response body.
	ParamTruncate = "truncate"
	// ParamPause is a duration, such as 20ms, for which a chunked response pauses after half
	// of its body.
	ParamPause = "pause"
	// ParamEarly sends the response before the request body is read.
	ParamEarly = "early"
	// ParamServiceTime is the service time of the call, as a Go duration string.
	ParamServiceTime = "work"
	// ParamStatus is the status code of the response.
	ParamStatus = "status"
	// ParamCrash makes the call crash the server at the end of its service time.
	ParamCrash = "crash"
	// ParamCall is the path of a call that the server makes at the end of the service time. If
	// it fails, the response has status 500.
	ParamCall = "call"
)

// headerAttempt marks the calls that the server makes as part of another call.
const headerAttempt = "Lynxfold-Attempt"

// callTimeout limits the calls that the server makes.
const callTimeout = 5 * time.Second

// headerAttemptID identifies an attempt; responses repeat it.
const headerAttemptID = "Lynxfold-Attempt-Id"

// headerCustomer names the customer that a request is made for.
const headerCustomer = "Lynxfold-Customer"

// disconnectPollInterval is the interval between checks for a closed connection.
const disconnectPollInterval = 5 * time.Millisecond

func (sv *Server) serve(ctx *fasthttp.RequestCtx) {
	running := sv.running.Add(1)
	defer sv.running.Add(-1)
	if sv.unresponsive.Load() {
		sv.waitForDisconnect(ctx)
		// Without this the HTTP library would answer 200 when the server stops first.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	if running > int64(sv.cfg.Slots) {
		ctx.Error("shedding load", fasthttp.StatusServiceUnavailable)
		return
	}
	call := string(ctx.Request.Header.Peek(HeaderCallID))
	ctx.Response.Header.SetBytesV(headerAttemptID, ctx.Request.Header.Peek(headerAttemptID))
	if ctx.QueryArgs().GetBool(ParamEarly) {
		sv.finishRun(sv.recordRun(call, 0, ctx), false)
		ctx.SetConnectionClose()
		sv.respond(ctx, call, 0)
		return
	}
	size, err := readBody(ctx)
	if err != nil {
		ctx.SetConnectionClose()
		ctx.Error("body cut short", fasthttp.StatusBadRequest)
		return
	}
	entry := sv.recordRun(call, size, ctx)
	cancelled := sv.simulateWork(ctx)
	if !cancelled && sv.crashes(ctx) {
		sv.crash(entry)
		cancelled = true
	}
	calledOK := cancelled || sv.callThrough(ctx)
	sv.finishRun(entry, cancelled)
	if cancelled {
		ctx.SetConnectionClose()
		return
	}
	if !calledOK {
		ctx.Error("call failed", fasthttp.StatusInternalServerError)
		return
	}
	sv.respond(ctx, call, size)
}

// callThrough makes the call that the query parameters ask for, on a new connection, and
// reports whether it succeeded.
func (sv *Server) callThrough(ctx *fasthttp.RequestCtx) bool {
	path := ctx.QueryArgs().Peek(ParamCall)
	if len(path) == 0 {
		return true
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	rs := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(rs)
	req.SetRequestURI(sv.cfg.CallThrough + string(path))
	req.Header.SetBytesV(headerAttempt, ctx.Request.Header.Peek(headerAttempt))
	req.Header.Set(HeaderCallID, string(ctx.Request.Header.Peek(HeaderCallID))+".1")
	req.SetConnectionClose()
	err := (&fasthttp.Client{}).DoTimeout(req, rs, callTimeout)
	return err == nil && rs.StatusCode() == fasthttp.StatusOK
}

// respond writes the response that the query parameters ask for.
func (sv *Server) respond(ctx *fasthttp.RequestCtx, call string, received int) {
	args := ctx.QueryArgs()
	if status, err := args.GetUint(ParamStatus); err == nil {
		ctx.SetStatusCode(status)
	}
	if n := sv.cfg.FailEvery; n > 0 && sv.responses.Add(1)%int64(n) == 0 {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	n, err := args.GetUint(ParamBytes)
	if err != nil || n <= 0 {
		ctx.SetContentType("application/json")
		_, _ = fmt.Fprintf(ctx, `{"service":%q,"upstream":%q,"call":%q,"path":%q,"received":%d}`+"\n",
			sv.cfg.Service, sv.cfg.Name, call, ctx.Path(), received)
		return
	}
	ctx.SetContentType("application/octet-stream")
	body := Pattern(call, n)
	switch {
	case args.GetBool(ParamTruncate):
		truncate(ctx, body, n, args.GetBool(ParamChunked))
	case args.GetBool(ParamChunked):
		pause, _ := time.ParseDuration(string(args.Peek(ParamPause)))
		ctx.SetBodyStreamWriter(func(wr *bufio.Writer) {
			_, _ = io.CopyN(wr, body, int64(n/2))
			_ = wr.Flush()
			time.Sleep(pause)
			_, _ = io.Copy(wr, body)
		})
	default:
		ctx.SetBodyStream(body, n)
	}
}

// truncate sends the response header and half of the body.
func truncate(ctx *fasthttp.RequestCtx, body io.Reader, n int, chunked bool) {
	nc := ctx.Conn()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(_ net.Conn) {})
	if chunked {
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", n)
	} else {
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", n)
	}
	_, _ = io.CopyN(nc, body, int64(n/2))
}

// Pattern returns a reader of n bytes that repeat a call's id.
func Pattern(call string, n int) io.Reader {
	line := call + "\n"
	return io.LimitReader(strings.NewReader(strings.Repeat(line, n/len(line)+1)), int64(n))
}

// readBody reads the request body and returns its length.
func readBody(ctx *fasthttp.RequestCtx) (int, error) {
	body := ctx.RequestBodyStream()
	if body == nil {
		return 0, nil
	}
	want := ctx.Request.Header.ContentLength()
	buf := make([]byte, 32<<10)
	size := 0
	for {
		n, err := body.Read(buf)
		size += n
		switch {
		case err == nil:
		case err != io.EOF || (want >= 0 && size < want):
			return size, &TruncatedBodyError{Want: want, Got: size}
		default:
			return size, nil
		}
	}
}

// TruncatedBodyError reports a body that is shorter than its declared length.
type TruncatedBodyError struct {
	Want int
	Got  int
}

func (er *TruncatedBodyError) Error() string {
	return fmt.Sprintf("body has %d bytes, want %d", er.Got, er.Want)
}

// simulateWork waits for the call's service time; it reports whether the connection
// closed meanwhile.
func (sv *Server) simulateWork(ctx *fasthttp.RequestCtx) bool {
	remaining := sv.serviceTime(ctx)
	for remaining > 0 {
		step := min(remaining, disconnectPollInterval)
		time.Sleep(step)
		remaining -= step
		if remaining > 0 && tcp.Peek(ctx.Conn()) == tcp.StateClosed {
			return true
		}
	}
	return false
}

// waitForDisconnect waits until the connection closes or the server stops.
func (sv *Server) waitForDisconnect(ctx *fasthttp.RequestCtx) {
	ti := time.NewTicker(disconnectPollInterval)
	defer ti.Stop()
	for tcp.Peek(ctx.Conn()) != tcp.StateClosed {
		select {
		case <-ti.C:
		case <-sv.stop:
			return
		}
	}
}

func (sv *Server) serviceTime(ctx *fasthttp.RequestCtx) time.Duration {
	work := sv.cfg.ServiceTime
	if override, err := time.ParseDuration(string(ctx.QueryArgs().Peek(ParamServiceTime))); err == nil {
		work = override
	}
	sv.mu.Lock()
	cold := time.Now().Before(sv.coldUntil)
	sv.mu.Unlock()
	if cold {
		return work * time.Duration(sv.cfg.ColdFactor)
	}
	return work
}

// recordRun adds a ledger entry and returns its index.
func (sv *Server) recordRun(call string, size int, ctx *fasthttp.RequestCtx) int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.ledger = append(sv.ledger, Run{
		Call:      call,
		Method:    string(ctx.Method()),
		Path:      string(ctx.Path()),
		Index:     len(sv.ledger),
		Bytes:     size,
		Customer:  string(ctx.Request.Header.Peek(headerCustomer)),
		HasKey:    len(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)) > 0,
		StartedAt: time.Now(),
	})
	return len(sv.ledger) - 1
}

func (sv *Server) finishRun(entry int, cancelled bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.ledger[entry].FinishedAt = time.Now()
	sv.ledger[entry].Cancelled = cancelled
}
