package testkit

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	upstreamstandin "lynxfold/io/upstream/standin"
)

// Layout describes the data centres, services and upstreams of a mesh. Szeged and
// Cuyo are the layouts of existing meshes.
type Layout struct {
	Name        string
	DataCentres []string
	Services    []LayoutService
	Slots       int
}

// LayoutService is a service of a layout and its number of upstreams.
type LayoutService struct {
	Name      string
	Upstreams int
}

// Szeged returns a layout of 12 upstreams of three services in three data centres.
func Szeged() Layout {
	return Layout{
		Name:        "szeged",
		DataCentres: []string{"press-hall", "curing-room", "server-room"},
		Services: []LayoutService{
			{Name: "portal", Upstreams: 6},
			{Name: "certify", Upstreams: 3},
			{Name: "labdesk", Upstreams: 3},
		},
		Slots: 20,
	}
}

// Cuyo returns a layout of 11 upstreams of three services in three data centres.
func Cuyo() Layout {
	return Layout{
		Name:        "cuyo",
		DataCentres: []string{"sala-norte", "sala-centro", "sala-sur"},
		Services: []LayoutService{
			{Name: "expedientes", Upstreams: 5},
			{Name: "gestiones", Upstreams: 3},
			{Name: "documentos", Upstreams: 3},
		},
		Slots: 10,
	}
}

// Hosts returns one host per upstream, assigned to the data centres in turn, so
// that the first hosts are one of each data centre.
func (la Layout) Hosts() []HostSpec {
	var hosts []HostSpec
	for _, se := range la.Services {
		for range se.Upstreams {
			dc := la.DataCentres[len(hosts)%len(la.DataCentres)]
			id := fmt.Sprintf("%s-%d", dc, len(hosts)/len(la.DataCentres)+1)
			hosts = append(hosts, HostSpec{
				ID:         id,
				DataCentre: dc,
				Upstream: upstreamstandin.Config{
					Name:    id,
					Service: se.Name,
					Slots:   la.Slots,
				},
			})
		}
	}
	return hosts
}

// Document returns a configuration with a route to each service. Callers vary the
// contract's timeout to make versions differ.
func (la Layout) Document(timeoutMS int) string {
	services, routes := "", ""
	for i, se := range la.Services {
		if i > 0 {
			services, routes = services+", ", routes+", "
		}
		services += fmt.Sprintf(`{"name": %q}`, se.Name)
		routes += fmt.Sprintf(`{"name": %q, "path_prefix": "/%s", "service": %q, "contract": "read"}`, se.Name, se.Name, se.Name)
	}
	return fmt.Sprintf(`{
  "services": [%s],
  "contracts": [{"name": "read", "idempotent": true, "timeout_ms": %d, "retries": 2}],
  "routes": [%s]
}`, services, timeoutMS, routes)
}

// AllUpstreamsKnown reports whether every host answers and knows all upstreams.
func (me *Mesh) AllUpstreamsKnown(la Layout) bool {
	for id := range me.Hosts {
		st := me.Status(id)
		if st == nil || len(st.Services) != len(la.Services) {
			return false
		}
		want := map[string]int{}
		for _, se := range la.Services {
			want[se.Name] = se.Upstreams
		}
		for _, se := range st.Services {
			if se.Upstreams != want[string(se.Service)] {
				return false
			}
		}
	}
	return true
}

// AllAtVersion reports whether the given hosts, or all hosts if none are given,
// have a version in force.
func (me *Mesh) AllAtVersion(version uint64, ids ...string) bool {
	if len(ids) == 0 {
		ids = me.hostIDs
	}
	for _, id := range ids {
		st := me.Status(id)
		if st == nil || uint64(st.Version) != version {
			return false
		}
	}
	return true
}

// HostIDsIn returns the ids of the hosts of a data centre.
func (me *Mesh) HostIDsIn(dataCentre string) []string {
	var ids []string
	for _, id := range me.hostIDs {
		if me.Hosts[id].Spec.DataCentre == dataCentre {
			ids = append(ids, id)
		}
	}
	return ids
}

// SumMetric returns the sum of one metric over all hosts that answer.
func (me *Mesh) SumMetric(name string) float64 {
	sum := 0.0
	for _, id := range me.hostIDs {
		sum += me.HostMetric(id, name)
	}
	return sum
}

// SumMetricsWithPrefix returns the sum of all metrics with a prefix over all hosts
// that answer.
func (me *Mesh) SumMetricsWithPrefix(prefix string) float64 {
	sum := 0.0
	for _, id := range me.hostIDs {
		sum += me.SumHostMetricsWithPrefix(id, prefix)
	}
	return sum
}

// SumHostMetricsWithPrefix returns the sum of all metrics of a host with a prefix.
func (me *Mesh) SumHostMetricsWithPrefix(id, prefix string) float64 {
	sum := 0.0
	for line := range strings.SplitSeq(me.metrics(id), "\n") {
		if strings.HasPrefix(line, prefix) {
			sum += sampleValue(line)
		}
	}
	return sum
}

// HostMetric returns one metric of a host, by its name with labels, or 0 if the
// host does not export it.
func (me *Mesh) HostMetric(id, name string) float64 {
	for line := range strings.SplitSeq(me.metrics(id), "\n") {
		if strings.HasPrefix(line, name+" ") {
			return sampleValue(line)
		}
	}
	return 0
}

func (me *Mesh) metrics(id string) string {
	code, body, err := fasthttp.Get(nil, "http://"+me.Hosts[id].OperatorAddress+"/metrics")
	if err != nil || code != fasthttp.StatusOK {
		return ""
	}
	return string(body)
}

// sampleValue parses the value at the end of a metric's line.
func sampleValue(line string) float64 {
	number, _ := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
	return number
}
