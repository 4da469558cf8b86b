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

// jobWithin bounds one job on the platform, however many requests it makes.
const jobWithin = 30 * time.Second

// source is where accepted configurations are read from.
type source interface {
	// Since reads what leads on from a version: the deltas in order, or the
	// whole document. With a known state it may wait for another one.
	Since(ctx context.Context, ve contract.Version, known platform.ETag) (deltas []*contract.Delta, whole *contract.Snapshot, et platform.ETag, err error)
	// CurrentSnapshot reads the whole document of the current version.
	CurrentSnapshot(ctx context.Context) (*contract.Snapshot, error)
}

// platformParts are what the control goroutine's jobs use of the platform.
type platformParts struct {
	dig.In

	Store         platform.Store
	Source        source
	Introductions *platform.Introductions
}

// read reads the platform beside the control goroutine; the member asks for one
// reading at a time.
func (ct *Control) read(ac datacentre.ReadPlatform) {
	ctx, cancel := context.WithTimeout(ct.jobCtx, jobWithin)
	defer cancel()
	ev, err := ct.readVersions(ctx, ac)
	if err == nil && ac.Introductions {
		ev.Contacts, err = ct.platform.Introductions.Read(ctx, ct.dataCentre)
	}
	ct.counters.read(err)
	ev.Err = err
	ct.Emit(ev)
}

func (ct *Control) readVersions(ctx context.Context, ac datacentre.ReadPlatform) (datacentre.PlatformRead, error) {
	if ac.Snapshot {
		return ct.readWhole(ctx)
	}
	known := ct.known
	if ac.Unconditional {
		known = ""
	}
	deltas, whole, state, err := ct.platform.Source.Since(ctx, ac.After, known)
	if err != nil {
		return datacentre.PlatformRead{}, err
	}
	ct.known = state
	return datacentre.PlatformRead{
		Deltas:   deltas,
		Snapshot: whole,
	}, nil
}

func (ct *Control) readWhole(ctx context.Context) (datacentre.PlatformRead, error) {
	whole, err := ct.platform.Source.CurrentSnapshot(ctx)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return datacentre.PlatformRead{}, nil
	}
	return datacentre.PlatformRead{Snapshot: whole}, err
}

// introduce writes this data centre's introduction row beside the control goroutine.
func (ct *Control) introduce(ac datacentre.WriteIntroduction) {
	ctx, cancel := context.WithTimeout(ct.jobCtx, jobWithin)
	defer cancel()
	wrote, err := ct.platform.Introductions.Write(ctx, platform.IntroductionRow{
		DataCentre:      ac.DataCentre,
		Addresses:       ac.Addresses,
		RemoteAddresses: ac.RemoteAddresses,
		WrittenAt:       time.Now().UTC(),
	})
	ct.counters.introduced(wrote, err)
	ct.Emit(datacentre.IntroductionWritten{Err: err})
}

// end stops the control goroutine and its jobs; a job that waits for the
// platform is interrupted.
func (ct *Control) end() {
	ct.links.Close()
	close(ct.stop)
	ct.endJobs()
	ct.platform.Store.Close()
	ct.jobs.Wait()
}
