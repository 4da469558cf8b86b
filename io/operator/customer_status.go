package operator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// maxShownCustomers and maxShownShares bound the customers of a status and the hosts listed
// for each.
const (
	maxShownCustomers = 100
	maxShownShares    = 8
)

// CustomerUse is the use of one node by a customer with a limit.
type CustomerUse struct {
	Customer         contract.CustomerName
	ServedPerSecond  float64
	RefusedPerSecond float64
}

// CustomerStatus is the use of the mesh by a customer with a limit, as an average over
// about a second.
type CustomerStatus struct {
	Customer         contract.CustomerName `json:"customer"`
	LimitPerSecond   float64               `json:"limit_per_second"`
	Burst            float64               `json:"burst"`
	ServedPerSecond  float64               `json:"served_per_second"`
	RefusedPerSecond float64               `json:"refused_per_second"`
	// QuotaHost keeps the customer's tokens, as far as this node knows.
	QuotaHost host.ID `json:"quota_host"`
	// Shares are the hosts that serve most of the customer's requests.
	Shares []CustomerShare `json:"shares"`
}

// CustomerShare is the part of a customer's served requests that one host admits.
type CustomerShare struct {
	Host  host.ID `json:"host"`
	Share float64 `json:"share"`
}

// localCustomerStatuses returns the use of this node alone.
func (sv *Server) localCustomerStatuses(st *Status, vi *datacentre.View) []CustomerStatus {
	only := &Status{
		DataCentres: []DataCentreStatus{{
			Hosts: []HostStatus{{
				Host:      st.Host,
				customers: sv.cfg.Mesh.CustomerUse(),
			}},
		}},
	}
	return customerStatuses(only, vi)
}

// customerStatuses sums up the use of all hosts that answered, the largest customers first.
func customerStatuses(st *Status, vi *datacentre.View) []CustomerStatus {
	byName := map[contract.CustomerName]*CustomerStatus{}
	for _, ce := range st.DataCentres {
		for _, ho := range ce.Hosts {
			for _, cu := range ho.customers {
				addCustomerUse(byName, vi, ho.Host, cu)
			}
		}
	}
	all := make([]CustomerStatus, 0, len(byName))
	for _, cs := range byName {
		cs.finish()
		all = append(all, *cs)
	}
	slices.SortFunc(all, func(a, b CustomerStatus) int {
		return cmp.Or(cmp.Compare(b.ServedPerSecond+b.RefusedPerSecond, a.ServedPerSecond+a.RefusedPerSecond), cmp.Compare(a.Customer, b.Customer))
	})
	return all[:min(len(all), maxShownCustomers)]
}

func addCustomerUse(byName map[contract.CustomerName]*CustomerStatus, vi *datacentre.View, id host.ID, use CustomerUse) {
	cu, ok := vi.Config.Customer(use.Customer)
	if !ok || cu.RatePerSecond <= 0 {
		return
	}
	cs := byName[use.Customer]
	if cs == nil {
		cs = &CustomerStatus{
			Customer:       cu.Name,
			LimitPerSecond: cu.RatePerSecond,
			Burst:          cu.Burst,
		}
		if vi.Hosts != nil {
			for _, lh := range vi.Hosts.Rank(nil, string(cu.Name), 1) {
				cs.QuotaHost = lh.ID
			}
		}
		byName[use.Customer] = cs
	}
	cs.ServedPerSecond += use.ServedPerSecond
	cs.RefusedPerSecond += use.RefusedPerSecond
	cs.Shares = append(cs.Shares, CustomerShare{
		Host:  id,
		Share: use.ServedPerSecond,
	})
}

// finish turns the use by host into shares, the largest first.
func (cs *CustomerStatus) finish() {
	slices.SortFunc(cs.Shares, func(a, b CustomerShare) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Host, b.Host))
	})
	cs.Shares = cs.Shares[:min(len(cs.Shares), maxShownShares)]
	for i := range cs.Shares {
		cs.Shares[i].Share /= max(cs.ServedPerSecond, 1e-9)
	}
}

// DescribeShares lists the largest shares, such as "press-hall-1 60 %, press-hall-2 40 %".
func (cs CustomerStatus) DescribeShares() string {
	parts := make([]string, 0, len(cs.Shares))
	for _, sh := range cs.Shares {
		parts = append(parts, fmt.Sprintf("%s %.0f %%", sh.Host, 100*sh.Share))
	}
	return strings.Join(parts, ", ")
}
