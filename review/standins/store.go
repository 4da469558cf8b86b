//go:build review

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is how long the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// row is a row of the metadata store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowKey struct{ table, part, key string }

// storeState is what a copy of the store holds.
type storeState struct {
	rows    map[rowKey]row
	blobs   map[string][]byte
	version uint64
	takenAt time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	record *record
	server *http.Server
	addr   string

	mu      sync.Mutex
	rows    map[rowKey]row
	blobs   map[string][]byte
	version uint64
	era     int
	started time.Time
	// away is set while the store resets connections.
	away bool
	// changed is closed at the next transaction.
	changed chan struct{}
	// copies are the states before each transaction.
	copies []storeState
	// onWrite is called for each transaction of the system.
	onWrite func(table string)
	// refused holds the listeners whose requests are turned away.
	refused map[string]bool
}

func newStore(rec *record, ip string) (*store, error) {
	st := &store{
		record:  rec,
		rows:    map[rowKey]row{},
		blobs:   map[string][]byte{},
		era:     1,
		started: time.Now(),
		changed: make(chan struct{}),
		refused: map[string]bool{},
	}
	li, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	st.addr = li.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/rows-tx", st.handle(st.transact))
	mux.HandleFunc("/rows-get", st.handle(st.get))
	mux.HandleFunc("/rows-feed", st.handle(st.feed))
	mux.HandleFunc("/rows-parts", st.handle(st.parts))
	mux.HandleFunc("/blob-put/", st.handle(st.blobPut))
	mux.HandleFunc("/blob-get/", st.handle(st.blobGet))
	st.server = &http.Server{Handler: mux}
	go func() { _ = st.server.Serve(li) }()
	return st, nil
}

// listen opens one more address of the store, by which a machine can be told apart.
func (st *store) listen(ip string) (string, error) {
	li, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = st.server.Serve(li) }()
	return li.Addr().String(), nil
}

// refuse turns the requests at an address away with 503, or serves them again.
func (st *store) refuse(addr string, refused bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.refused[addr] = refused
	if refused {
		st.wakeLocked()
	}
}

func (st *store) isRefused(rq *http.Request) bool {
	la, _ := rq.Context().Value(http.LocalAddrContextKey).(net.Addr)
	st.mu.Lock()
	defer st.mu.Unlock()
	return la != nil && st.refused[la.String()]
}

func (st *store) isAway() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.away
}

// reset closes the connection of a request without an answer.
func reset(w http.ResponseWriter) {
	hj, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	nc, _, err := hj.Hijack()
	if err != nil {
		return
	}
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = nc.Close()
}

func (st *store) handle(next func(w http.ResponseWriter, rq *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, rq *http.Request) {
		if st.isAway() {
			reset(w)
			return
		}
		time.Sleep(storeLatency)
		st.mu.Lock()
		w.Header().Set("Store-Era", strconv.Itoa(st.era))
		st.mu.Unlock()
		if st.isRefused(rq) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next(w, rq)
	}
}

func (st *store) nowS() float64 { return time.Since(st.started).Seconds() }

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (st *store) wakeLocked() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// copyLocked returns a copy of the current state.
func (st *store) copyLocked() storeState {
	cp := storeState{
		rows:    make(map[rowKey]row, len(st.rows)),
		blobs:   make(map[string][]byte, len(st.blobs)),
		version: st.version,
		takenAt: time.Now(),
	}
	for k, v := range st.rows {
		cp.rows[k] = v
	}
	for k, v := range st.blobs {
		cp.blobs[k] = v
	}
	return cp
}

type condition struct {
	Table, Part, Key string
	Ver              uint64
}

type transaction struct {
	Expect []condition
	Writes []struct {
		Table, Part, Key string
		Value            []byte
	}
	Remove []condition
}

func (st *store) transact(w http.ResponseWriter, rq *http.Request) {
	var tx transaction
	if err := json.NewDecoder(rq.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, wr := range tx.Writes {
		if wr.Table == "op" || wr.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	held := true
	var current []row
	for _, co := range tx.Expect {
		ro := st.rows[rowKey{co.Table, co.Part, co.Key}]
		have := ro.Version
		if ro.Tombstone {
			have = 0
		}
		held = held && have == co.Ver
		if have != 0 {
			current = append(current, ro)
		}
	}
	if !held {
		answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": st.version, "nowS": st.nowS()})
		return
	}
	st.copies = append(st.copies, st.copyLocked())
	st.version++
	for _, wr := range tx.Writes {
		st.rows[rowKey{wr.Table, wr.Part, wr.Key}] = row{Table: wr.Table, Part: wr.Part, Key: wr.Key, Value: wr.Value, Version: st.version}
		st.record.printf("store: the system writes %s/%s as version %d", wr.Table, wr.Key, st.version)
		if st.onWrite != nil {
			st.onWrite(wr.Table)
		}
	}
	for _, re := range tx.Remove {
		st.rows[rowKey{re.Table, re.Part, re.Key}] = row{Table: re.Table, Part: re.Part, Key: re.Key, Version: st.version, Tombstone: true}
	}
	st.wakeLocked()
	answer(w, http.StatusOK, map[string]any{"ver": st.version, "nowS": st.nowS()})
}

// put writes a row of the operator and returns its version.
func (st *store) put(table, key string, value []byte) uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	ve := st.putLocked(table, key, value)
	st.wakeLocked()
	return ve
}

func (st *store) putLocked(table, key string, value []byte) uint64 {
	st.copies = append(st.copies, st.copyLocked())
	st.version++
	st.rows[rowKey{table, "", key}] = row{Table: table, Key: key, Value: value, Version: st.version}
	st.record.printf("store: the operator's %s/%s is acknowledged as version %d", table, key, st.version)
	return st.version
}

// leave makes the store reset all connections.
func (st *store) leave() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.leaveLocked()
}

func (st *store) leaveLocked() {
	st.away = true
	st.wakeLocked()
	st.record.printf("store: away")
}

// comeBack ends the drill: the store serves the copy from before a version, and what the
// operator wrote since is written again.
func (st *store) comeBack(before uint64, again map[string][]byte) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for i := len(st.copies) - 1; i >= 0; i-- {
		if cp := st.copies[i]; cp.version < before {
			st.rows, st.blobs, st.version = cp.rows, cp.blobs, cp.version
			st.copies = st.copies[:i]
			st.era++
			st.record.printf("store: back as era %d from a copy of version %d, %.1f s old", st.era, cp.version, time.Since(cp.takenAt).Seconds())
			break
		}
	}
	for key, value := range again {
		st.putLocked("op", key, value)
	}
	st.away = false
	st.wakeLocked()
}

func (st *store) get(w http.ResponseWriter, rq *http.Request) {
	q := rq.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	rows := []row{}
	for k, ro := range st.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && !ro.Tombstone && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, ro)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	answer(w, http.StatusOK, map[string]any{"rows": rows, "hasMore": more, "ver": st.version, "nowS": st.nowS()})
}

func (st *store) feed(w http.ResponseWriter, rq *http.Request) {
	q := rq.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.Now().Add(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		st.mu.Lock()
		if st.away {
			st.mu.Unlock()
			reset(w)
			return
		}
		if after > st.version {
			st.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := []row{}
		for k, ro := range st.rows {
			if k.table == q.Get("table") && ro.Version > after {
				rows = append(rows, ro)
			}
		}
		version, changed := st.version, st.changed
		st.mu.Unlock()
		if st.isRefused(rq) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		left := time.Until(until)
		if len(rows) > 0 || left <= 0 {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
			answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "nowS": st.nowS()})
			return
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-rq.Context().Done():
			return
		}
	}
}

func (st *store) parts(w http.ResponseWriter, rq *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	seen := map[string]bool{}
	for k, ro := range st.rows {
		if k.table == rq.URL.Query().Get("table") && !ro.Tombstone {
			seen[k.part] = true
		}
	}
	parts := []string{}
	for pa := range seen {
		parts = append(parts, pa)
	}
	sort.Strings(parts)
	answer(w, http.StatusOK, map[string]any{"parts": parts, "ver": st.version, "nowS": st.nowS()})
}

func (st *store) blobPut(w http.ResponseWriter, rq *http.Request) {
	data, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	name := strings.TrimPrefix(rq.URL.Path, "/blob-put/")
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, there := st.blobs[name]; there && rq.Header.Get("If-None-Match") == "*" {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	st.blobs[name] = data
}

func (st *store) blobGet(w http.ResponseWriter, rq *http.Request) {
	st.mu.Lock()
	data, there := st.blobs[strings.TrimPrefix(rq.URL.Path, "/blob-get/")]
	st.mu.Unlock()
	if !there {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (st *store) close() { _ = st.server.Close() }
