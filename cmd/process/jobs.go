package process

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/dig"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/io/platform"
)

// jobTimeout bounds one job on the platform, however many requests it makes.
const jobTimeout = 30 * time.Second

// configSource reads accepted configurations.
type configSource interface {
	// Since reads the changes after a version: the deltas in order, or the whole
	// document.
	Since(ctx context.Context, cq platform.ChangeQuery) (deltas []*contract.Delta, snapshot *contract.Snapshot, et platform.ETag, err error)
	// CurrentSnapshot reads the whole document of the current version.
	CurrentSnapshot(ctx context.Context) (*contract.Snapshot, error)
	// Refused returns the version found by the latest read if it can't be put in force;
	// nil if it can.
	Refused() *platform.RefusedVersion
}

// platformParams are the platform clients of the control goroutine's jobs.
type platformParams struct {
	dig.In

	Store         platform.Store
	Source        configSource
	Introductions *platform.Introductions
	Crashes       *platform.CrashRows
}

// readPlatform reads the platform beside the control goroutine. The member requests
// one read at a time.
func (ct *Control) readPlatform(ac datacentre.ReadPlatform) {
	ctx, cancel := context.WithTimeout(ct.jobCtx, jobTimeout)
	defer cancel()
	if ac.Introductions {
		ct.jobs.Go(func() { ct.readIntroductions() })
		ct.jobs.Go(func() { ct.readCrashes() })
	}
	if ct.rollouts != nil {
		ct.jobs.Go(func() { ct.rollouts.readOrders(ct.jobCtx) })
	}
	startedAt := time.Now()
	ev, err := ct.readVersions(ctx, ac)
	ct.counters.countPlatformRead(err)
	if re := ct.platform.Source.Refused(); re != nil {
		ev.Refused = &datacentre.Refusal{
			Version: re.Version,
			Err:     re.Err,
			At:      time.Now(),
		}
	}
	ev.Err = err
	ev.Took = time.Since(startedAt)
	ct.Emit(ev)
}

// readIntroductions reads the introduction rows beside the versions, so that a node that
// starts waits for neither.
func (ct *Control) readIntroductions() {
	ctx, cancel := context.WithTimeout(ct.jobCtx, jobTimeout)
	defer cancel()
	contacts, err := ct.platform.Introductions.Read(ctx, ct.dataCentre)
	ct.Emit(datacentre.IntroductionsRead{
		Contacts: contacts,
		Err:      err,
	})
}

// readCrashes reads, once after the start, which requests are known to crash upstreams.
func (ct *Control) readCrashes() {
	if ct.crashesRead.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ct.jobCtx, jobTimeout)
	defer cancel()
	ne, err := ct.platform.Crashes.Read(ctx, time.Now())
	if err != nil {
		ct.log.Warn().Err(err).Str("event", "crashes_not_read").Msg("cannot read which requests crash upstreams; trying again later")
		return
	}
	ct.crashesRead.Store(true)
	if !ne.IsEmpty() {
		ct.Emit(datacentre.StoredCrashesRead{News: ne})
	}
}

// storeCrashes writes to the platform which requests crash upstreams.
func (ct *Control) storeCrashes(ac datacentre.StoreCrashes) {
	ctx, cancel := context.WithTimeout(ct.jobCtx, jobTimeout)
	defer cancel()
	if err := ct.platform.Crashes.Write(ctx, ac.DataCentre, ac.News, time.Now()); err != nil {
		ct.log.Warn().Err(err).
			Str("event", "crashes_not_stored").
			Int("crashes", len(ac.News.Crashes)).
			Msg("cannot store which requests crash upstreams; they are forgotten if all hosts are restarted at once")
	}
}

func (ct *Control) readVersions(ctx context.Context, ac datacentre.ReadPlatform) (datacentre.PlatformRead, error) {
	if ac.Snapshot {
		return ct.readSnapshot(ctx)
	}
	cq := platform.ChangeQuery{
		After:           ac.After,
		Known:           ct.configETag,
		MaxWait:         ac.MaxWait,
		ResponseTimeout: ac.ResponseTimeout,
	}
	if ac.Unconditional {
		cq.Known = ""
	}
	deltas, snapshot, et, err := ct.platform.Source.Since(ctx, cq)
	if err != nil {
		return datacentre.PlatformRead{}, err
	}
	ct.configETag = et
	return datacentre.PlatformRead{
		Deltas:   deltas,
		Snapshot: snapshot,
	}, nil
}

func (ct *Control) readSnapshot(ctx context.Context) (datacentre.PlatformRead, error) {
	snapshot, err := ct.platform.Source.CurrentSnapshot(ctx)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return datacentre.PlatformRead{}, nil
	}
	return datacentre.PlatformRead{Snapshot: snapshot}, err
}

// writeIntroduction writes this data centre's introduction row beside the control
// goroutine.
func (ct *Control) writeIntroduction(ac datacentre.WriteIntroduction) {
	ctx, cancel := context.WithTimeout(ct.jobCtx, jobTimeout)
	defer cancel()
	wrote, err := ct.platform.Introductions.Write(ctx, platform.IntroductionRow{
		DataCentre:      ac.DataCentre,
		Addresses:       ac.Addresses,
		RemoteAddresses: ac.RemoteAddresses,
		WrittenAt:       time.Now().UTC(),
	})
	ct.counters.countIntroduction(wrote, err)
	ct.Emit(datacentre.IntroductionWritten{Err: err})
}

// shutdown stops the control goroutine and its jobs; a job that waits for the
// platform is interrupted.
func (ct *Control) shutdown() {
	ct.links.Close()
	close(ct.stop)
	ct.cancelJobs()
	ct.platform.Store.Close()
	ct.jobs.Wait()
}
