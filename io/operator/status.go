package operator

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/io/operator/access"
)

// HostState is what a node holds a host for.
type HostState string

// States of hosts.
const (
	HostAlive   HostState = "alive"
	HostSuspect HostState = "suspect"
	HostDead    HostState = "dead"
	HostLeft    HostState = "left"
)

// Mesh is what a node knows of the mesh.
type Mesh interface {
	// Centres describes the data centres; nothing is asked of other nodes.
	Centres() []CentreStatus
	// Refused lists the versions that this node could not put in force.
	Refused() []RefusedStatus
	// Ask asks the node at a link address what it has in force.
	Ask(ctx context.Context, address string) (HostAnswer, error)
}

// HostAnswer is what a node says that it has in force.
type HostAnswer struct {
	Host    host.ID
	Version contract.Version
	// Refused is the highest version that it could not put in force; 0 when none.
	Refused contract.Version
}

// Status is what a node knows of the mesh.
type Status struct {
	Host       host.ID          `json:"host"`
	DataCentre datacentre.Name  `json:"data_centre"`
	Version    contract.Version `json:"config_version"`
	Digest     contract.Digest  `json:"config_digest"`
	// Oldest is the lowest version in force on the hosts that answered.
	Oldest contract.Version `json:"oldest_version"`
	// Surveyed tells that every host was asked.
	Surveyed    bool            `json:"surveyed"`
	Services    []ServiceStatus `json:"services"`
	DataCentres []CentreStatus  `json:"data_centres"`
	Refused     []RefusedStatus `json:"refused_versions"`
}

// ServiceStatus counts the usable upstreams of a service.
type ServiceStatus struct {
	Service   contract.ServiceName `json:"service"`
	Upstreams int                  `json:"upstreams"`
}

// CentreStatus is what a node knows of one data centre.
type CentreStatus struct {
	DataCentre datacentre.Name `json:"data_centre"`
	// Separated data centres are not reached from the node's own one.
	Separated bool `json:"separated"`
	// Readers are the hosts that read the platform for the data centre.
	Readers []host.ID    `json:"readers"`
	Hosts   []HostStatus `json:"hosts"`
}

// HostStatus is what a node knows of one host.
type HostStatus struct {
	Host    host.ID   `json:"host"`
	Address string    `json:"address"`
	Status  HostState `json:"status"`
	// Answered tells that the host was asked and that the version is its own word.
	Answered bool             `json:"answered"`
	Version  contract.Version `json:"config_version,omitempty"`
	// Refused is the highest version that the host could not put in force.
	Refused contract.Version `json:"refused_version,omitempty"`
}

// RefusedStatus is a version that could not be put in force.
type RefusedStatus struct {
	Version contract.Version `json:"config_version"`
	Detail  string           `json:"detail"`
}

func (sv *Server) getStatus(ctx *fasthttp.RequestCtx, _ access.Operator) {
	st := sv.status()
	if len(ctx.QueryArgs().Peek("survey")) > 0 {
		sv.survey(&st)
	}
	writeJSON(ctx, fasthttp.StatusOK, st)
}

func (sv *Server) status() Status {
	vi := sv.cfg.View()
	st := Status{
		Host:        sv.cfg.Host,
		DataCentre:  sv.cfg.DataCentre,
		Version:     vi.Config.Version,
		Digest:      vi.Config.Digest,
		Oldest:      vi.Config.Version,
		Services:    []ServiceStatus{},
		DataCentres: sv.cfg.Mesh.Centres(),
		Refused:     sv.cfg.Mesh.Refused(),
	}
	for _, se := range vi.Config.Document.Services {
		st.Services = append(st.Services, ServiceStatus{
			Service:   se.Name,
			Upstreams: len(vi.Upstreams[se.Name]),
		})
	}
	return st
}

const (
	// surveyWithin bounds a survey of the whole mesh.
	surveyWithin = 15 * time.Second
	// askWithin bounds the wait for one host.
	askWithin = 2 * time.Second
	// asksAtOnce bounds the hosts that are asked at once.
	asksAtOnce = 64
)

// survey asks every live host what it has in force. One survey runs at a time;
// nothing is asked when nobody wants to know.
func (sv *Server) survey(st *Status) {
	sv.surveys.Lock()
	defer sv.surveys.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), surveyWithin)
	defer cancel()
	var done sync.WaitGroup
	places := make(chan struct{}, asksAtOnce)
	for i := range st.DataCentres {
		for j := range st.DataCentres[i].Hosts {
			ho := &st.DataCentres[i].Hosts[j]
			if ho.Status != HostAlive && ho.Status != HostSuspect {
				continue
			}
			places <- struct{}{}
			done.Go(func() {
				defer func() { <-places }()
				sv.ask(ctx, ho)
			})
		}
	}
	done.Wait()
	st.Surveyed = true
	st.Oldest = oldest(st)
}

func (sv *Server) ask(ctx context.Context, ho *HostStatus) {
	if ho.Host == sv.cfg.Host {
		ho.Answered, ho.Version = true, sv.cfg.View().Config.Version
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	an, err := sv.cfg.Mesh.Ask(ctx, ho.Address)
	if err != nil || an.Host != ho.Host {
		return
	}
	ho.Answered, ho.Version, ho.Refused = true, an.Version, an.Refused
}

// oldest is the lowest version of the hosts that answered.
func oldest(st *Status) contract.Version {
	lowest := st.Version
	for _, ce := range st.DataCentres {
		for _, ho := range ce.Hosts {
			if ho.Answered {
				lowest = min(lowest, ho.Version)
			}
		}
	}
	return lowest
}
