package process

import (
	"context"
	"maps"
	"slices"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/wire"
	"lynxfold/io/ini"
	"lynxfold/io/node"
	"lynxfold/io/operator"
)

// mesh answers the operators' questions about other hosts.
type mesh struct {
	settings *ini.Settings
	address  string
	control  *Control
	dialer   *node.Dialer
}

func newMesh(se *ini.Settings, ad addresses, ct *Control, di *node.Dialer) *mesh {
	return &mesh{
		settings: se,
		address:  ad.advertise,
		control:  ct,
		dialer:   di,
	}
}

// Centres implements operator.Mesh.
func (ms *mesh) Centres() []operator.CentreStatus {
	hosts := map[datacentre.Name]map[host.ID]string{
		ms.settings.Host.DataCentre: {ms.settings.Host.ID: ms.address},
	}
	for _, ups := range ms.control.View().Upstreams {
		for _, up := range ups {
			if hosts[up.DataCentre] == nil {
				hosts[up.DataCentre] = map[host.ID]string{}
			}
			hosts[up.DataCentre][up.Host] = up.Address
		}
	}
	var centres []operator.CentreStatus
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		ce := operator.CentreStatus{DataCentre: name, Readers: []host.ID{}}
		for _, id := range slices.Sorted(maps.Keys(hosts[name])) {
			ce.Hosts = append(ce.Hosts, operator.HostStatus{
				Host:    id,
				Address: hosts[name][id],
				Status:  operator.HostAlive,
			})
		}
		centres = append(centres, ce)
	}
	return centres
}

// Refused implements operator.Mesh.
func (ms *mesh) Refused() []operator.RefusedStatus { return []operator.RefusedStatus{} }

// Ask implements operator.Mesh.
func (ms *mesh) Ask(ctx context.Context, address string) (operator.HostAnswer, error) {
	an, err := ms.dialer.Survey(ctx, address)
	if err != nil {
		return operator.HostAnswer{}, err
	}
	return operator.HostAnswer{
		Host:    host.ID(an.GetHost()),
		Version: contract.Version(an.GetVersion()),
		Refused: contract.Version(an.GetRefused()),
	}, nil
}

// answer is what this node says when another one asks.
func (ms *mesh) answer() *wire.SurveyAnswer {
	return &wire.SurveyAnswer{
		Host:    string(ms.settings.Host.ID),
		Version: uint64(ms.control.View().Config.Version),
	}
}
