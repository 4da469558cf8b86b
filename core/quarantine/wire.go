package quarantine

import (
	"time"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// CrashesToWire returns the messages for crashes that are sent at now.
func CrashesToWire(crashes []Crash, now time.Time) []*wire.Crash {
	var out []*wire.Crash
	for _, cr := range crashes {
		wc := &wire.Crash{
			Id:    uint64(cr.ID),
			Host:  string(cr.Host),
			AgeUs: now.Sub(cr.At).Microseconds(),
		}
		for _, fp := range cr.Suspects {
			wc.Fingerprints = append(wc.Fingerprints, uint64(fp))
		}
		out = append(out, wc)
	}
	return out
}

// CrashesFromWire returns the crashes in messages that arrived at now. Those beyond the
// bounds of a table are left out.
func CrashesFromWire(crashes []*wire.Crash, now time.Time) []Crash {
	var out []Crash
	for _, wc := range crashes[:min(len(crashes), maxCrashes)] {
		cr := Crash{
			ID:   CrashID(wc.GetId()),
			Host: host.ID(wc.GetHost()),
			At:   timeBefore(now, wc.GetAgeUs()),
		}
		for _, fp := range wc.GetFingerprints()[:min(len(wc.GetFingerprints()), maxSuspectsPerCrash)] {
			cr.Suspects = append(cr.Suspects, host.Fingerprint(fp))
		}
		out = append(out, cr)
	}
	return out
}

// ToWire returns the message for news that is sent at now.
func (ne News) ToWire(now time.Time) *wire.CrashNews {
	cn := &wire.CrashNews{Crashes: CrashesToWire(ne.Crashes, now)}
	for _, sv := range ne.Survivals {
		cn.Survivals = append(cn.Survivals, &wire.Survival{
			Fingerprint: uint64(sv.Request),
			AgeUs:       now.Sub(sv.At).Microseconds(),
		})
	}
	return cn
}

// NewsFromWire returns the news in a message that arrived at now.
func NewsFromWire(cn *wire.CrashNews, now time.Time) News {
	ne := News{Crashes: CrashesFromWire(cn.GetCrashes(), now)}
	for _, ws := range cn.GetSurvivals()[:min(len(cn.GetSurvivals()), maxSurvivals)] {
		ne.Survivals = append(ne.Survivals, Survival{
			Request: host.Fingerprint(ws.GetFingerprint()),
			At:      timeBefore(now, ws.GetAgeUs()),
		})
	}
	return ne
}

// timeBefore returns the time an age before now. An age that can't be is taken for 0 or
// for too long.
func timeBefore(now time.Time, ageUs int64) time.Time {
	ageUs = min(max(ageUs, 0), 2*keepFor.Microseconds())
	return now.Add(-time.Duration(ageUs) * time.Microsecond)
}
