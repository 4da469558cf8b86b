package process

import (
	"context"
	"slices"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
	"lynxfold/io/ini"
	"lynxfold/io/node"
	"lynxfold/io/operator"
)

// mesh answers operators' queries about other hosts.
type mesh struct {
	settings *ini.Settings
	control  *Control
	dialer   *node.Dialer
	quotas   *node.Quotas
}

func newMesh(se *ini.Settings, ct *Control, di *node.Dialer, qs *node.Quotas) *mesh {
	return &mesh{
		settings: se,
		control:  ct,
		dialer:   di,
		quotas:   qs,
	}
}

// hostStates maps the wire status of a host to the operators' API.
var hostStates = map[wire.Status]operator.HostState{
	wire.Status_STATUS_ALIVE:   operator.HostAlive,
	wire.Status_STATUS_SUSPECT: operator.HostSuspect,
	wire.Status_STATUS_DEAD:    operator.HostDead,
	wire.Status_STATUS_LEFT:    operator.HostLeft,
}

// DataCentres implements operator.Mesh.
func (ms *mesh) DataCentres() []operator.DataCentreStatus {
	centres := []operator.DataCentreStatus{}
	for _, cr := range ms.control.Report().Centres {
		ce := operator.DataCentreStatus{
			DataCentre: cr.Name,
			Separated:  cr.Separated,
			Readers:    slices.Sorted(slices.Values(cr.Readers)),
			Hosts:      []operator.HostStatus{},
		}
		for _, hr := range cr.Hosts {
			ce.Hosts = append(ce.Hosts, operator.HostStatus{
				Host:           hr.ID,
				Address:        hr.Address,
				Status:         hostStates[hr.Status],
				Version:        hr.Version,
				RefusedVersion: hr.Refused,
			})
		}
		centres = append(centres, ce)
	}
	return centres
}

// RefusedVersions implements operator.Mesh.
func (ms *mesh) RefusedVersions() []operator.RefusedVersion {
	refused := []operator.RefusedVersion{}
	for _, re := range ms.control.Report().Refused {
		refused = append(refused, operator.RefusedVersion{
			Version: re.Version,
			Detail:  re.Err.Error(),
		})
	}
	return refused
}

// QueryHost implements operator.Mesh.
func (ms *mesh) QueryHost(ctx context.Context, address string) (operator.HostAnswer, error) {
	an, err := ms.dialer.Survey(ctx, address)
	if err != nil {
		return operator.HostAnswer{}, err
	}
	return operator.HostAnswer{
		Host:           host.ID(an.GetHost()),
		Version:        contract.Version(an.GetVersion()),
		RefusedVersion: contract.Version(an.GetRefused()),
		Customers:      customerUses(an.GetCustomers()),
	}, nil
}

func customerUses(of []*wire.CustomerUse) []operator.CustomerUse {
	uses := make([]operator.CustomerUse, 0, len(of))
	for _, cu := range of {
		uses = append(uses, operator.CustomerUse{
			Customer:         contract.CustomerName(cu.GetCustomer()),
			ServedPerSecond:  cu.GetServedPerSecond(),
			RefusedPerSecond: cu.GetRefusedPerSecond(),
		})
	}
	return uses
}

// CustomerUse implements operator.Mesh.
func (ms *mesh) CustomerUse() []operator.CustomerUse { return customerUses(ms.quotas.CustomerUse()) }

// surveyAnswer returns this node's answer to another node's survey.
func (ms *mesh) surveyAnswer() *wire.SurveyAnswer {
	an := &wire.SurveyAnswer{
		Host:    string(ms.settings.Host.ID),
		Version: uint64(ms.control.View().Config.Version),
	}
	an.Customers = ms.quotas.CustomerUse()
	for _, re := range ms.control.Report().Refused {
		an.Refused = max(an.Refused, uint64(re.Version))
	}
	return an
}
