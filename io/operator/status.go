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

// HostState is the membership state of a host, as seen by this node.
type HostState string

// States of hosts.
const (
	HostAlive   HostState = "alive"
	HostSuspect HostState = "suspect"
	HostDead    HostState = "dead"
	HostLeft    HostState = "left"
)

// Mesh provides the state of the other hosts: what this node knows of them, and their
// responses to queries.
type Mesh interface {
	// DataCentres returns the status of the data centres as known to this node, without any
	// network requests.
	DataCentres() []DataCentreStatus
	// RefusedVersions lists the versions that this node could not activate.
	RefusedVersions() []RefusedVersion
	// CustomerUse returns the use of this node by customers with limits.
	CustomerUse() []CustomerUse
	// QueryHost queries the node at a link address for its active version.
	QueryHost(ctx context.Context, address string) (HostAnswer, error)
}

// HostAnswer is the response of a node to a query for its active version.
type HostAnswer struct {
	Host    host.ID
	Version contract.Version
	// RefusedVersion is the highest version that the node could not activate; 0 if there is none.
	RefusedVersion contract.Version
	Customers      []CustomerUse
}

// Status is the state of the mesh as seen by one node.
type Status struct {
	Host       host.ID          `json:"host"`
	DataCentre datacentre.Name  `json:"data_centre"`
	Version    contract.Version `json:"config_version"`
	Digest     contract.Digest  `json:"config_digest"`
	// OldestVersion is the lowest active version among this node and the hosts that answered.
	OldestVersion contract.Version `json:"oldest_version"`
	// Surveyed reports whether the live hosts were queried.
	Surveyed        bool               `json:"surveyed"`
	Services        []ServiceStatus    `json:"services"`
	DataCentres     []DataCentreStatus `json:"data_centres"`
	RefusedVersions []RefusedVersion   `json:"refused_versions"`
	// Customers are those with limits that were active lately; without a survey, only at
	// this node.
	Customers []CustomerStatus `json:"customers,omitempty"`
	Rollouts  []RolloutState   `json:"rollouts,omitempty"`
}

// ServiceStatus is the number of usable upstreams of a service.
type ServiceStatus struct {
	Service   contract.ServiceName `json:"service"`
	Upstreams int                  `json:"upstreams"`
}

// DataCentreStatus is the state of one data centre.
type DataCentreStatus struct {
	DataCentre datacentre.Name `json:"data_centre"`
	// Separated reports whether the data centre is unreachable from this node's data
	// centre.
	Separated bool `json:"separated"`
	// Readers are the hosts that read the platform for the data centre.
	Readers []host.ID    `json:"readers"`
	Hosts   []HostStatus `json:"hosts"`
}

// HostStatus is the state of one host.
type HostStatus struct {
	Host    host.ID   `json:"host"`
	Address string    `json:"address"`
	Status  HostState `json:"status"`
	// Answered reports whether the host was queried and Version is from its response.
	Answered bool             `json:"answered"`
	Version  contract.Version `json:"config_version,omitempty"`
	// RefusedVersion is the highest version that the host could not activate.
	RefusedVersion contract.Version `json:"refused_version,omitempty"`
	customers      []CustomerUse
}

// RefusedVersion is a version that could not be activated.
type RefusedVersion struct {
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
		Host:            sv.cfg.Host,
		DataCentre:      sv.cfg.DataCentre,
		Version:         vi.Config.Version,
		Digest:          vi.Config.Digest,
		OldestVersion:   vi.Config.Version,
		Services:        []ServiceStatus{},
		DataCentres:     sv.cfg.Mesh.DataCentres(),
		RefusedVersions: sv.cfg.Mesh.RefusedVersions(),
		Rollouts:        sv.rolloutStates(),
	}
	for _, se := range vi.Config.Document.Services {
		st.Services = append(st.Services, ServiceStatus{
			Service:   se.Name,
			Upstreams: len(vi.Upstreams[se.Name]),
		})
	}
	st.Customers = sv.localCustomerStatuses(&st, vi)
	return st
}

const (
	// surveyTimeout bounds a survey of the whole mesh.
	surveyTimeout = 15 * time.Second
	// hostQueryTimeout bounds the query to one host.
	hostQueryTimeout = 2 * time.Second
	// maxConcurrentQueries bounds the concurrent queries of a survey.
	maxConcurrentQueries = 64
)

// survey queries every live host for its active version. It runs only on request, and
// only one survey runs at a time.
func (sv *Server) survey(st *Status) {
	sv.surveyMu.Lock()
	defer sv.surveyMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), surveyTimeout)
	defer cancel()
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxConcurrentQueries)
	for i := range st.DataCentres {
		for j := range st.DataCentres[i].Hosts {
			ho := &st.DataCentres[i].Hosts[j]
			if ho.Status != HostAlive && ho.Status != HostSuspect {
				continue
			}
			sem <- struct{}{}
			wg.Go(func() {
				defer func() { <-sem }()
				sv.queryHost(ctx, ho)
			})
		}
	}
	wg.Wait()
	st.Surveyed = true
	st.Customers = customerStatuses(st, sv.cfg.View())
	st.OldestVersion = oldestVersion(st)
}

func (sv *Server) queryHost(ctx context.Context, ho *HostStatus) {
	if ho.Host == sv.cfg.Host {
		ho.Answered, ho.Version, ho.customers = true, sv.cfg.View().Config.Version, sv.cfg.Mesh.CustomerUse()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hostQueryTimeout)
	defer cancel()
	an, err := sv.cfg.Mesh.QueryHost(ctx, ho.Address)
	if err != nil || an.Host != ho.Host {
		return
	}
	ho.Answered, ho.Version, ho.RefusedVersion, ho.customers = true, an.Version, an.RefusedVersion, an.Customers
}

// oldestVersion returns the lowest active version among this node and the hosts that
// answered.
func oldestVersion(st *Status) contract.Version {
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
