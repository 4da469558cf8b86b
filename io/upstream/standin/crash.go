package standin

import (
	"net"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
)

// crashes reports whether a request crashes the server.
func (sv *Server) crashes(ctx *fasthttp.RequestCtx) bool {
	return ctx.QueryArgs().GetBool(ParamCrash) && !sv.fixed.Load()
}

// Fix makes the server serve the requests that would crash it.
func (sv *Server) Fix() { sv.fixed.Store(true) }

// crash ends the server as the crash of its process would. The entry of the ledger is
// that of the call that caused it. The ledger outlasts the crash.
func (sv *Server) crash(entry int) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.down {
		return
	}
	now := time.Now()
	sv.down = true
	sv.crashTimes = append(sv.crashTimes, now)
	sv.ledger[entry].CrashedAt = now
	sv.endRateLimit(now)
	sv.closeConns()
	time.AfterFunc(sv.cfg.RestartAfter, sv.restart)
}

// restart starts a crashed server again at its address, as a new process under the same
// name that drains no more and states nothing about itself. It tries again later if the
// address is in use.
func (sv *Server) restart() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	select {
	case <-sv.stop:
		return
	default:
	}
	li, err := net.Listen("tcp", sv.address)
	if err != nil {
		time.AfterFunc(disconnectPollInterval, sv.restart)
		return
	}
	sv.listener = li
	sv.down = false
	sv.startedAt = time.Now()
	sv.coldUntil = sv.startedAt.Add(sv.cfg.ColdPeriod)
	sv.sequence = 0
	sv.draining.Store(false)
	sv.leaving = false
	sv.done.Go(func() { _ = sv.http.Serve(li) })
}

// CrashTimes returns the times at which requests crashed the server.
func (sv *Server) CrashTimes() []time.Time {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return slices.Clone(sv.crashTimes)
}
