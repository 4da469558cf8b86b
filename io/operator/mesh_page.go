package operator

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/io/operator/record"
)

// latestShown bounds the decisions on the mesh page.
const latestShown = 30

// meshPage shows the data centres and the latest decisions of this node.
type meshPage struct {
	Status  Status
	Centres []centreRow
	Latest  []decision
}

// centreRow is one data centre in a few words.
type centreRow struct {
	Name      string
	Hosts     string
	Versions  string
	Readers   string
	Separated bool
	// Hosts that an operator should look at.
	Troubled []HostStatus
}

// decision is one entry of the record in plain words.
type decision struct {
	At   string
	Text string
}

// showMesh asks every live host and shows what it says.
func (vi *visit) showMesh() {
	st := vi.server.status()
	vi.server.survey(&st)
	mp := meshPage{
		Status: st,
		Latest: decisions(vi.server.cfg.Explainer.Latest(latestShown).Entries),
	}
	for _, ce := range st.DataCentres {
		mp.Centres = append(mp.Centres, rowOf(ce, st.Version))
	}
	vi.render(pageMesh, mp)
}

func rowOf(ce CentreStatus, inForce contract.Version) centreRow {
	ro := centreRow{
		Name:      string(ce.DataCentre),
		Hosts:     ce.HostCounts(),
		Versions:  ce.VersionCounts(),
		Separated: ce.Separated,
	}
	readers := make([]string, 0, len(ce.Readers))
	for _, id := range ce.Readers {
		readers = append(readers, string(id))
	}
	ro.Readers = strings.Join(readers, " ")
	for _, ho := range ce.Hosts {
		if ho.Status != HostAlive || !ho.Answered || ho.Version != inForce || ho.Refused > 0 {
			ro.Troubled = append(ro.Troubled, ho)
		}
	}
	return ro
}

// HostCounts counts the hosts by state, such as "3 alive, 1 dead".
func (ce CentreStatus) HostCounts() string {
	states := map[HostState]int{}
	for _, ho := range ce.Hosts {
		states[ho.Status]++
	}
	var counts []string
	for _, hs := range []HostState{HostAlive, HostSuspect, HostDead, HostLeft} {
		if states[hs] > 0 {
			counts = append(counts, fmt.Sprintf("%d %s", states[hs], hs))
		}
	}
	return strings.Join(counts, ", ")
}

// VersionCounts counts the live hosts by the version that they have in force,
// such as "42 on 3, unknown on 1".
func (ce CentreStatus) VersionCounts() string {
	var order []contract.Version
	counts := map[contract.Version]int{}
	unknown := 0
	for _, ho := range ce.Hosts {
		switch {
		case ho.Answered || ho.Version > 0:
			if counts[ho.Version] == 0 {
				order = append(order, ho.Version)
			}
			counts[ho.Version]++
		case ho.Status == HostAlive:
			unknown++
		}
	}
	slices.Sort(order)
	var parts []string
	for _, ve := range order {
		parts = append(parts, fmt.Sprintf("%d on %d", ve, counts[ve]))
	}
	if unknown > 0 {
		parts = append(parts, fmt.Sprintf("unknown on %d", unknown))
	}
	return strings.Join(parts, ", ")
}

// explainPage shows what this node remembers of something.
type explainPage struct {
	Subject   string
	ID        string
	Decisions []decision
	// Since is the time of the oldest entry that is kept; empty when none is.
	Since string
}

func (vi *visit) explain() {
	ep := explainPage{
		Subject: vi.typed("subject"),
		ID:      strings.TrimSpace(vi.typed("id")),
	}
	an := vi.server.answerFor(ep.Subject, ep.ID)
	ep.Decisions = decisions(an.Entries)
	if !an.Since.IsZero() {
		ep.Since = stamp(an.Since)
	}
	vi.render(pageExplain, ep)
}

// answerFor looks a subject up in the record; what is no subject is not there.
func (sv *Server) answerFor(subject, id string) record.Answer {
	switch subject {
	case SubjectVersion:
		ve, err := strconv.ParseUint(id, 10, 64)
		if err != nil {
			return record.Answer{}
		}
		return sv.cfg.Explainer.Version(contract.Version(ve))
	case SubjectHost:
		return sv.cfg.Explainer.Host(host.ID(id))
	case SubjectCall:
		return sv.cfg.Explainer.CallOf(id)
	}
	return record.Answer{}
}

func decisions(entries []record.Entry) []decision {
	all := make([]decision, 0, len(entries))
	for _, en := range entries {
		all = append(all, decision{
			At:   stamp(en.At),
			Text: en.Sentence(),
		})
	}
	return all
}
