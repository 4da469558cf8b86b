package testkit

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	upstreamstandin "lynxfold/io/upstream/standin"
)

// Layout is the size of one mesh of today.
type Layout struct {
	Name        string
	DataCentres []string
	Services    []LayoutService
	Slots       int
}

// LayoutService is one service of a layout.
type LayoutService struct {
	Name      string
	Upstreams int
}

// Szeged has 12 upstreams of three services in three data centres.
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

// Cuyo has 11 upstreams of three services in three data centres.
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

// Hosts spreads the upstreams evenly over the data centres; the first hosts are
// one of each data centre.
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

// Document routes to all services; its contracts' timeout tells versions apart.
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

// AllServed tells whether every host that answers knows all upstreams, and
// whether every host answers.
func (me *Mesh) AllServed(la Layout) bool {
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

// AllAt tells whether every named host has a version in force; all hosts when
// none is named.
func (me *Mesh) AllAt(version uint64, ids ...string) bool {
	if len(ids) == 0 {
		ids = me.order
	}
	for _, id := range ids {
		st := me.Status(id)
		if st == nil || uint64(st.Version) != version {
			return false
		}
	}
	return true
}

// In names the hosts of a data centre.
func (me *Mesh) In(dataCentre string) []string {
	var ids []string
	for _, id := range me.order {
		if me.Hosts[id].Spec.DataCentre == dataCentre {
			ids = append(ids, id)
		}
	}
	return ids
}

// Metric adds up one metric over all hosts that answer.
func (me *Mesh) Metric(name string) float64 {
	sum := 0.0
	for _, id := range me.order {
		sum += me.HostMetric(id, name)
	}
	return sum
}

// Sum adds up all metrics that start with a prefix over all hosts that answer.
func (me *Mesh) Sum(prefix string) float64 {
	sum := 0.0
	for _, id := range me.order {
		sum += me.HostSum(id, prefix)
	}
	return sum
}

// HostSum adds up all metrics of a host that start with a prefix.
func (me *Mesh) HostSum(id, prefix string) float64 {
	sum := 0.0
	for line := range strings.SplitSeq(me.metrics(id), "\n") {
		if strings.HasPrefix(line, prefix) {
			sum += valueOf(line)
		}
	}
	return sum
}

// HostMetric reads one metric of a host, by its name with labels; it is 0 when
// the host does not have it.
func (me *Mesh) HostMetric(id, name string) float64 {
	for line := range strings.SplitSeq(me.metrics(id), "\n") {
		if strings.HasPrefix(line, name+" ") {
			return valueOf(line)
		}
	}
	return 0
}

func (me *Mesh) metrics(id string) string {
	code, body, err := fasthttp.Get(nil, "http://"+me.Hosts[id].Operator+"/metrics")
	if err != nil || code != fasthttp.StatusOK {
		return ""
	}
	return string(body)
}

// valueOf reads the value at the end of a metric's line.
func valueOf(line string) float64 {
	number, _ := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
	return number
}
