package operator_test

import (
	"context"

	"lynxfold/core/host"
	"lynxfold/io/operator"
)

// fakeMesh is a mesh of two data centres in which one host does not respond.
type fakeMesh struct{}

func (fakeMesh) DataCentres() []operator.DataCentreStatus {
	return []operator.DataCentreStatus{
		{
			DataCentre: "curing-room",
			Separated:  true,
			Readers:    []host.ID{"curing-room-1"},
			Hosts: []operator.HostStatus{
				{Host: "curing-room-1", Address: "10.0.0.2:7400", Status: operator.HostAlive},
				{Host: "curing-room-2", Address: "10.0.0.3:7400", Status: operator.HostDead},
				{Host: "curing-room-3", Address: "10.0.0.4:7400", Status: operator.HostSuspect},
			},
		},
		{
			DataCentre: "press-hall",
			Readers:    []host.ID{"press-hall-1"},
			Hosts: []operator.HostStatus{
				{Host: "press-hall-1", Address: "10.0.0.1:7400", Status: operator.HostAlive},
			},
		},
	}
}

func (fakeMesh) RefusedVersions() []operator.RefusedVersion {
	return []operator.RefusedVersion{{Version: 9, Detail: "digest"}}
}

func (fakeMesh) CustomerUse() []operator.CustomerUse { return nil }

func (fakeMesh) QueryHost(_ context.Context, address string) (operator.HostAnswer, error) {
	if address == "10.0.0.2:7400" {
		return operator.HostAnswer{Host: "curing-room-1", RefusedVersion: 9}, nil
	}
	return operator.HostAnswer{}, context.DeadlineExceeded
}
