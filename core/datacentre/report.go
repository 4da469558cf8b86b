package datacentre

import (
	"maps"
	"slices"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// Report is what a node knows of the mesh, for operators.
type Report struct {
	Host    host.ID
	Grounds Grounds
	InForce contract.Version
	// Held is above InForce while the node waits for grounds.
	Held    contract.Version
	Floor   contract.Version
	Refused []Refusal
	Centres []CentreReport
}

// CentreReport is what is known of one data centre.
type CentreReport struct {
	Name Name
	// Separated data centres are not reached from the node's own one.
	Separated bool
	Readers   []host.ID
	Hosts     []HostReport
}

// HostReport is what is known of one host.
type HostReport struct {
	ID          host.ID
	Address     string
	Status      wire.Status
	Incarnation host.Incarnation
	// Linked hosts are neighbours; the fields below are theirs.
	Linked  bool
	Version contract.Version
	// Refused is the version that the neighbour can't compile; 0 when none.
	Refused contract.Version
}

// Report describes what the member knows now. It copies all host records.
func (me *Member) Report() *Report {
	rp := &Report{
		Host:    me.cfg.Host,
		Grounds: me.start.grounds,
		InForce: me.spread.inForce.Version,
		Held:    me.spread.held.Version,
		Floor:   me.start.floor,
	}
	for _, ve := range slices.Sorted(maps.Keys(me.spread.refused)) {
		rp.Refused = append(rp.Refused, me.spread.refused[ve])
	}
	for _, name := range slices.Sorted(maps.Keys(me.centres)) {
		rp.Centres = append(rp.Centres, me.reportCentre(me.centres[name]))
	}
	return rp
}

func (me *Member) reportCentre(ce *centre) CentreReport {
	cr := CentreReport{
		Name:      ce.name,
		Separated: ce.separated,
		Readers:   me.readers(ce.name),
	}
	for _, id := range slices.Sorted(maps.Keys(ce.hosts)) {
		re := ce.hosts[id]
		hr := HostReport{
			ID:          id,
			Address:     me.addressOf(re.ho),
			Status:      re.ho.GetStatus(),
			Incarnation: host.Incarnation(re.ho.GetIncarnation()),
		}
		if pe := me.links[id]; pe != nil {
			hr.Linked = true
			hr.Version = pe.version
			hr.Refused = pe.refused
		}
		cr.Hosts = append(cr.Hosts, hr)
	}
	return cr
}
