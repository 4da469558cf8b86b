package datacentre

import (
	"maps"
	"slices"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// Report is a node's state of the mesh for operators.
type Report struct {
	Host   host.ID
	Basis  ActivationBasis
	Active contract.Version
	// Verified is the highest verified version; it is above Active while the node has no
	// basis to activate it.
	Verified contract.Version
	// Floor is the highest version that a neighbour remembers this host may have had
	// before its restart; 0 when there is none.
	Floor   contract.Version
	Refused []Refusal
	Centres []CentreReport
}

// CentreReport is the state of one data centre.
type CentreReport struct {
	Name Name
	// Separated is set when no border host of the node's own data centre has a link
	// into this one.
	Separated bool
	Readers   []host.ID
	Hosts     []HostReport
}

// HostReport is the state of one host.
type HostReport struct {
	ID          host.ID
	Address     string
	Status      wire.Status
	Incarnation host.Incarnation
	// Linked is set for hosts with a link to this node; Version and Refused are set
	// for these only.
	Linked  bool
	Version contract.Version
	// Refused is the version that the host can't compile; 0 when there is none.
	Refused contract.Version
}

// Report returns the current state of the member. It copies all host records.
func (me *Member) Report() *Report {
	rp := &Report{
		Host:     me.cfg.Host,
		Basis:    me.startup.basis,
		Active:   me.versions.active.Version,
		Verified: me.versions.verified.Version,
		Floor:    me.startup.floor,
	}
	for _, ve := range slices.Sorted(maps.Keys(me.versions.refused)) {
		rp.Refused = append(rp.Refused, me.versions.refused[ve])
	}
	if un := me.versions.unreadable; un != nil && (un.Version == 0 || un.Version > rp.Verified) {
		rp.Refused = append(rp.Refused, *un)
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
			Address:     me.addressOf(re.host),
			Status:      re.host.GetStatus(),
			Incarnation: host.Incarnation(re.host.GetIncarnation()),
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
