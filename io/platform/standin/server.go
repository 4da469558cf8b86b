// Package standin is an in-memory fake of the platform's table and object store for
// demonstrations and tests, with fault injection.
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

// Faults are the faults that the fake injects.
type Faults struct {
	// Down makes all requests to the table and the object store fail with 503.
	Down bool `json:"down"`
	// DelayMS delays every response, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseReplies is how many of the next transactions are applied but get no response:
	// the connection is closed.
	LoseReplies int `json:"lose_replies"`
	// JitterMS is the maximum random delay that is added to DelayMS, in milliseconds.
	JitterMS int64 `json:"jitter_ms"`
	// LateWrites is how many of the next transactions get no response and are applied
	// only after LateByMS.
	LateWrites int `json:"late_writes"`
	// LateByMS is the delay of late transactions, in milliseconds.
	LateByMS int64 `json:"late_by_ms"`
	// RefuseEvery is n to make every n-th request fail with 429; 0 means none.
	RefuseEvery int64 `json:"refuse_every"`
	// FailAfterEffect is how many of the next transactions are applied but get a response
	// with status 500.
	FailAfterEffect int `json:"fail_after_effect"`
	// UnreadablePrefix makes reads of the rows whose keys begin with it fail with 503;
	// empty means none.
	UnreadablePrefix platform.Key `json:"unreadable_prefix"`
}

// unreadable reports whether reads of the rows at a key, or with a key prefix, fail.
func (fa Faults) unreadable(key platform.Key) bool {
	return fa.UnreadablePrefix != "" && strings.HasPrefix(string(key), string(fa.UnreadablePrefix))
}

func (fa Faults) delay() time.Duration {
	delay := fa.DelayMS
	if fa.JitterMS > 0 {
		delay += rand.Int64N(fa.JitterMS + 1)
	}
	return time.Duration(delay) * time.Millisecond
}

// Counts are the numbers of requests that the fake has received.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Objects int64 `json:"objects"`
	// PeakReads, PeakWrites and PeakObjects are the largest numbers of requests in any
	// second of Unix time.
	PeakReads   int64 `json:"peak_reads"`
	PeakWrites  int64 `json:"peak_writes"`
	PeakObjects int64 `json:"peak_objects"`
}

// requestKind is the kind of a request in Counts.
type requestKind int

const (
	kindRead requestKind = iota
	kindWrite
	kindObject
	requestKindCount
)

// requestCounter counts the requests of one kind, including refused ones.
type requestCounter struct {
	total int64
	// peak is the largest number of requests in one second of Unix time.
	peak            int64
	lastSecond      int64
	lastSecondCount int64
}

func (rc *requestCounter) add(now time.Time) {
	if second := now.Unix(); second != rc.lastSecond {
		rc.lastSecond = second
		rc.lastSecondCount = 0
	}
	rc.total++
	rc.lastSecondCount++
	rc.peak = max(rc.peak, rc.lastSecondCount)
}

// maxStoredBytes is the size of the values and objects in memory beyond which writes
// are refused.
const maxStoredBytes = 512 << 20

// Server is a fake table and object store.
type Server struct {
	mu          sync.Mutex
	rows        map[platform.Key]platform.Row
	objects     map[string][]byte
	lastETag    uint64
	faults      Faults
	counters    [requestKindCount]requestCounter
	storedBytes int
	// requests is the number of requests to the table and the object store.
	requests   int64
	lateWrites sync.WaitGroup
	http       *fasthttp.Server
}

// New returns an empty fake.
func New() *Server {
	sv := &Server{
		rows:    map[platform.Key]platform.Row{},
		objects: map[string][]byte{},
	}
	ro := router.New()
	ro.GET("/table/rows/{key:*}", sv.withFaults(kindRead, sv.read))
	ro.GET("/table/list", sv.withFaults(kindRead, sv.list))
	ro.POST("/table/transactions", sv.withFaults(kindWrite, sv.transact))
	ro.PUT("/objects/{name}", sv.withFaults(kindObject, sv.putObject))
	ro.GET("/objects/{name}", sv.withFaults(kindObject, sv.getObject))
	ro.PUT("/faults", sv.setFaults)
	ro.GET("/counts", sv.getCounts)
	sv.http = &fasthttp.Server{
		Handler:               ro.Handler,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    64 << 20,
	}
	return sv
}

// Serve serves requests on a listener until Shutdown.
func (sv *Server) Serve(li net.Listener) error { return sv.http.Serve(li) }

// Shutdown stops the server and makes Serve return.
func (sv *Server) Shutdown() error { return sv.http.Shutdown() }

// SetFaults replaces the injected faults.
func (sv *Server) SetFaults(fa Faults) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.faults = fa
}

// Counts returns the numbers of requests so far.
func (sv *Server) Counts() Counts {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return Counts{
		Reads:       sv.counters[kindRead].total,
		Writes:      sv.counters[kindWrite].total,
		Objects:     sv.counters[kindObject].total,
		PeakReads:   sv.counters[kindRead].peak,
		PeakWrites:  sv.counters[kindWrite].peak,
		PeakObjects: sv.counters[kindObject].peak,
	}
}

// ResetCounts sets the counts to zero.
func (sv *Server) ResetCounts() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.counters = [requestKindCount]requestCounter{}
}

// Rows returns the rows whose keys have a prefix, sorted by key.
func (sv *Server) Rows(prefix platform.Key) []platform.Row {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.listLocked(prefix, "", len(sv.rows))
}

// withFaults wraps a handler: it counts the request and injects the faults that
// don't depend on the handler.
func (sv *Server) withFaults(rk requestKind, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		sv.mu.Lock()
		fa := sv.faults
		sv.counters[rk].add(time.Now())
		storageFull := sv.storedBytes > maxStoredBytes
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
		if storageFull && !ctx.IsGet() {
			ctx.Error("full", fasthttp.StatusServiceUnavailable)
			return
		}
		next(ctx)
	}
}

func (sv *Server) read(ctx *fasthttp.RequestCtx) {
	key := platform.Key(pathValue(ctx, "key"))
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.faults.unreadable(key) {
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
		return
	}
	row, ok := sv.rows[key]
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
	if sv.faults.unreadable(platform.Key(args.Peek("prefix"))) {
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
		return
	}
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
		delay := time.Duration(sv.faults.LateByMS) * time.Millisecond
		sv.lateWrites.Go(func() {
			time.Sleep(delay)
			sv.applyLate(body.Writes)
		})
		closeWithoutResponse(ctx)
		return
	}
	etags, key, ok := sv.applyLocked(body.Writes)
	if sv.faults.LoseReplies > 0 {
		sv.faults.LoseReplies--
		closeWithoutResponse(ctx)
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

// WaitLateWrites waits until all late transactions have been applied or have failed.
func (sv *Server) WaitLateWrites() { sv.lateWrites.Wait() }

func (sv *Server) applyLate(writes []platform.Write) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.applyLocked(writes)
}

// applyLocked applies all writes and returns the new ETags, or applies none and
// returns the key whose condition was not met.
func (sv *Server) applyLocked(writes []platform.Write) ([]platform.ETag, platform.Key, bool) {
	for _, wr := range writes {
		row, ok := sv.rows[wr.Key]
		if wr.IfAbsent && ok || wr.IfMatch != "" && row.ETag != wr.IfMatch {
			return nil, wr.Key, false
		}
	}
	etags := make([]platform.ETag, 0, len(writes))
	for _, wr := range writes {
		sv.lastETag++
		row := platform.Row{
			Key:   wr.Key,
			ETag:  platform.ETag(strconv.Quote(strconv.FormatUint(sv.lastETag, 10))),
			Value: wr.Value,
		}
		sv.storedBytes += len(wr.Value) - len(sv.rows[wr.Key].Value)
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
	sv.storedBytes += len(ctx.PostBody())
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

// closeWithoutResponse closes the connection without a response, by a hijack whose
// handler returns at once.
func closeWithoutResponse(ctx *fasthttp.RequestCtx) {
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
