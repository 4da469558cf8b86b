// Package standin is a small table and object store in memory that takes the
// platform's place in demonstrations and tests. It can be made to fail.
package standin

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"lynxfold/io/platform"
)

// Faults are what the stand-in does wrong.
type Faults struct {
	// Down refuses everything.
	Down bool `json:"down"`
	// DelayMS holds every answer back, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseReplies closes the connection of that many writes after they took effect.
	LoseReplies int `json:"lose_replies"`
	// JitterMS adds up to so much to each delay, in milliseconds.
	JitterMS int64 `json:"jitter_ms"`
	// LateWrites makes that many writes take effect only after LateByMS, their replies lost.
	LateWrites int `json:"late_writes"`
	// LateByMS is how late they are, in milliseconds.
	LateByMS int64 `json:"late_by_ms"`
	// RefuseEvery answers each request whose number is a multiple of it with 429; 0 for none.
	RefuseEvery int64 `json:"refuse_every"`
	// FailAfterEffect answers that many writes with an error after they took effect.
	FailAfterEffect int `json:"fail_after_effect"`
}

func (fa Faults) delay() time.Duration {
	delay := fa.DelayMS
	if fa.JitterMS > 0 {
		delay += rand.Int64N(fa.JitterMS + 1)
	}
	return time.Duration(delay) * time.Millisecond
}

// Counts are what the stand-in was asked for.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Objects int64 `json:"objects"`
	// The most within one second of the clock.
	PeakReads   int64 `json:"peak_reads"`
	PeakWrites  int64 `json:"peak_writes"`
	PeakObjects int64 `json:"peak_objects"`
}

// kind is what a request is counted as.
type kind int

const (
	kindRead kind = iota
	kindWrite
	kindObject
	kinds
)

// tally counts the requests of one kind, also those that are refused.
type tally struct {
	total  int64
	peak   int64
	second int64
	within int64
}

func (ta *tally) add(now time.Time) {
	if second := now.Unix(); second != ta.second {
		ta.second = second
		ta.within = 0
	}
	ta.total++
	ta.within++
	ta.peak = max(ta.peak, ta.within)
}

// maxStored bounds what the stand-in keeps, in bytes; more is refused.
const maxStored = 512 << 20

// Server is the stand-in.
type Server struct {
	mu      sync.Mutex
	rows    map[platform.Key]platform.Row
	objects map[string][]byte
	state   uint64
	faults  Faults
	tallies [kinds]tally
	stored  int
	// requests counts all requests.
	requests int64
	late     sync.WaitGroup
	http     *fasthttp.Server
}

// New builds an empty stand-in.
func New() *Server {
	sv := &Server{
		rows:    map[platform.Key]platform.Row{},
		objects: map[string][]byte{},
	}
	ro := router.New()
	ro.GET("/table/rows/{key:*}", sv.failing(kindRead, sv.read))
	ro.GET("/table/list", sv.failing(kindRead, sv.list))
	ro.POST("/table/transactions", sv.failing(kindWrite, sv.transact))
	ro.PUT("/objects/{name}", sv.failing(kindObject, sv.putObject))
	ro.GET("/objects/{name}", sv.failing(kindObject, sv.getObject))
	ro.PUT("/faults", sv.setFaults)
	ro.GET("/counts", sv.getCounts)
	sv.http = &fasthttp.Server{
		Handler:               ro.Handler,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    64 << 20,
	}
	return sv
}

// Serve answers on a listener until Shutdown.
func (sv *Server) Serve(li net.Listener) error { return sv.http.Serve(li) }

// Shutdown ends Serve.
func (sv *Server) Shutdown() error { return sv.http.Shutdown() }

// SetFaults replaces the faults.
func (sv *Server) SetFaults(fa Faults) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.faults = fa
}

// Counts returns what was asked for so far.
func (sv *Server) Counts() Counts {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return Counts{
		Reads:       sv.tallies[kindRead].total,
		Writes:      sv.tallies[kindWrite].total,
		Objects:     sv.tallies[kindObject].total,
		PeakReads:   sv.tallies[kindRead].peak,
		PeakWrites:  sv.tallies[kindWrite].peak,
		PeakObjects: sv.tallies[kindObject].peak,
	}
}

// ResetCounts starts the counts again.
func (sv *Server) ResetCounts() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.tallies = [kinds]tally{}
}

// Rows returns the rows whose key starts with a prefix, by key.
func (sv *Server) Rows(prefix platform.Key) []platform.Row {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.listLocked(prefix, "", len(sv.rows))
}

func (sv *Server) failing(ki kind, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		sv.mu.Lock()
		fa := sv.faults
		sv.tallies[ki].add(time.Now())
		full := sv.stored > maxStored
		sv.requests++
		refused := fa.RefuseEvery > 0 && sv.requests%fa.RefuseEvery == 0
		sv.mu.Unlock()
		time.Sleep(fa.delay())
		if fa.Down {
			ctx.Error("down", fasthttp.StatusServiceUnavailable)
			return
		}
		if refused {
			ctx.Error("too many", fasthttp.StatusTooManyRequests)
			return
		}
		if full && !ctx.IsGet() {
			ctx.Error("full", fasthttp.StatusServiceUnavailable)
			return
		}
		next(ctx)
	}
}

func (sv *Server) read(ctx *fasthttp.RequestCtx) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	row, ok := sv.rows[platform.Key(pathValue(ctx, "key"))]
	if !ok {
		ctx.Error("no such row", fasthttp.StatusNotFound)
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, string(row.ETag))
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == string(row.ETag) {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(row.Value)
}

func (sv *Server) list(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	limit, err := strconv.Atoi(string(args.Peek("limit")))
	if err != nil || limit <= 0 {
		ctx.Error("bad limit", fasthttp.StatusBadRequest)
		return
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	rows := sv.listLocked(platform.Key(args.Peek("prefix")), platform.Key(args.Peek("after")), limit)
	writeJSON(ctx, fasthttp.StatusOK, struct {
		Rows []platform.Row `json:"rows"`
	}{
		Rows: rows,
	})
}

func (sv *Server) listLocked(prefix, after platform.Key, limit int) []platform.Row {
	rows := []platform.Row{}
	for _, key := range slices.Sorted(maps.Keys(sv.rows)) {
		if strings.HasPrefix(string(key), string(prefix)) && key > after && len(rows) < limit {
			rows = append(rows, sv.rows[key])
		}
	}
	return rows
}

func (sv *Server) transact(ctx *fasthttp.RequestCtx) {
	var body struct {
		Writes []platform.Write `json:"writes"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.faults.LateWrites > 0 {
		sv.faults.LateWrites--
		late := time.Duration(sv.faults.LateByMS) * time.Millisecond
		sv.late.Go(func() {
			time.Sleep(late)
			sv.applyLate(body.Writes)
		})
		loseReply(ctx)
		return
	}
	etags, key, ok := sv.applyLocked(body.Writes)
	if sv.faults.LoseReplies > 0 {
		sv.faults.LoseReplies--
		loseReply(ctx)
		return
	}
	if sv.faults.FailAfterEffect > 0 {
		sv.faults.FailAfterEffect--
		ctx.Error("failed", fasthttp.StatusInternalServerError)
		return
	}
	if !ok {
		writeJSON(ctx, fasthttp.StatusPreconditionFailed, struct {
			Key platform.Key `json:"key"`
		}{
			Key: key,
		})
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, struct {
		ETags []platform.ETag `json:"etags"`
	}{
		ETags: etags,
	})
}

// WaitLate waits until all late writes have taken effect or failed.
func (sv *Server) WaitLate() { sv.late.Wait() }

func (sv *Server) applyLate(writes []platform.Write) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.applyLocked(writes)
}

// applyLocked makes all writes, or none and returns the key that did not fit.
func (sv *Server) applyLocked(writes []platform.Write) ([]platform.ETag, platform.Key, bool) {
	for _, wr := range writes {
		row, ok := sv.rows[wr.Key]
		if wr.IfAbsent && ok || wr.IfMatch != "" && row.ETag != wr.IfMatch {
			return nil, wr.Key, false
		}
	}
	etags := make([]platform.ETag, 0, len(writes))
	for _, wr := range writes {
		sv.state++
		row := platform.Row{
			Key:   wr.Key,
			ETag:  platform.ETag(strconv.Quote(strconv.FormatUint(sv.state, 10))),
			Value: wr.Value,
		}
		sv.stored += len(wr.Value) - len(sv.rows[wr.Key].Value)
		sv.rows[wr.Key] = row
		etags = append(etags, row.ETag)
	}
	return etags, "", true
}

func (sv *Server) putObject(ctx *fasthttp.RequestCtx) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	name := pathValue(ctx, "name")
	if _, ok := sv.objects[name]; ok {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		return
	}
	sv.stored += len(ctx.PostBody())
	sv.objects[name] = slices.Clone(ctx.PostBody())
	ctx.SetStatusCode(fasthttp.StatusCreated)
}

func (sv *Server) getObject(ctx *fasthttp.RequestCtx) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	data, ok := sv.objects[pathValue(ctx, "name")]
	if !ok {
		ctx.Error("no such object", fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(data)
}

func (sv *Server) setFaults(ctx *fasthttp.RequestCtx) {
	var fa Faults
	if err := json.Unmarshal(ctx.PostBody(), &fa); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	sv.SetFaults(fa)
}

func (sv *Server) getCounts(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, fasthttp.StatusOK, sv.Counts())
}

// loseReply closes the connection without an answer.
func loseReply(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func pathValue(ctx *fasthttp.RequestCtx, name string) string {
	text, _ := ctx.UserValue(name).(string)
	return text
}
