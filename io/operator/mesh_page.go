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

// meshPageDecisions bounds the decisions that the mesh page lists.
const meshPageDecisions = 30

// meshPage is the content of the mesh page: the data centres and the latest decisions of
// this node.
type meshPage struct {
	Status      Status
	DataCentres []dataCentreRow
	Latest      []decisionRow
}

// dataCentreRow is the summary of one data centre.
type dataCentreRow struct {
	Name      string
	Hosts     string
	Versions  string
	Readers   string
	Separated bool
	// NeedAttention are the hosts that are not alive, did not answer, could not activate a
	// version, or have another active version than this node.
	NeedAttention []HostStatus
}

// decisionRow is one recorded decision.
type decisionRow struct {
	At   string
	Text string
}

// showMesh surveys the live hosts and shows the state of the mesh.
func (cr *consoleRequest) showMesh() {
	st := cr.server.status()
	cr.server.survey(&st)
	mp := meshPage{
		Status: st,
		Latest: decisionRows(cr.server.cfg.Explainer.Latest(meshPageDecisions).Entries),
	}
	for _, ce := range st.DataCentres {
		mp.DataCentres = append(mp.DataCentres, dataCentreRowOf(ce, st.Version))
	}
	cr.render(pageMesh, mp)
}

func dataCentreRowOf(ce DataCentreStatus, active contract.Version) dataCentreRow {
	ro := dataCentreRow{
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
		if ho.Status != HostAlive || !ho.Answered || ho.Version != active || ho.RefusedVersion > 0 {
			ro.NeedAttention = append(ro.NeedAttention, ho)
		}
	}
	return ro
}

// HostCounts counts the hosts by state, such as "3 alive, 1 dead".
func (ce DataCentreStatus) HostCounts() string {
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

// VersionCounts counts the hosts by active version, such as "42 on 3, unknown on 1" for
// version 42 on three hosts. A host without a known version counts only if it is alive.
func (ce DataCentreStatus) VersionCounts() string {
	var versions []contract.Version
	counts := map[contract.Version]int{}
	unknown := 0
	for _, ho := range ce.Hosts {
		switch {
		case ho.Answered || ho.Version > 0:
			if counts[ho.Version] == 0 {
				versions = append(versions, ho.Version)
			}
			counts[ho.Version]++
		case ho.Status == HostAlive:
			unknown++
		}
	}
	slices.Sort(versions)
	var parts []string
	for _, ve := range versions {
		parts = append(parts, fmt.Sprintf("%d on %d", ve, counts[ve]))
	}
	if unknown > 0 {
		parts = append(parts, fmt.Sprintf("unknown on %d", unknown))
	}
	return strings.Join(parts, ", ")
}

// explainPage is the content of the explain page: the recorded decisions on a subject.
type explainPage struct {
	Subject   string
	ID        string
	Decisions []decisionRow
	// Since is the time of the oldest entry that is still kept; empty if there is none.
	Since string
}

func (cr *consoleRequest) showExplanation() {
	ep := explainPage{
		Subject: cr.formValue("subject"),
		ID:      strings.TrimSpace(cr.formValue("id")),
	}
	ex := cr.server.explanationFor(ep.Subject, ep.ID)
	ep.Decisions = decisionRows(ex.Entries)
	if !ex.Since.IsZero() {
		ep.Since = formatTime(ex.Since)
	}
	cr.render(pageExplain, ep)
}

// explanationFor returns the recorded decisions on a subject; none if the subject is
// unknown or the id is invalid.
func (sv *Server) explanationFor(subject, id string) record.Explanation {
	switch subject {
	case SubjectVersion:
		ve, err := strconv.ParseUint(id, 10, 64)
		if err != nil {
			return record.Explanation{}
		}
		return sv.cfg.Explainer.ExplainVersion(contract.Version(ve))
	case SubjectHost:
		return sv.cfg.Explainer.ExplainHost(host.ID(id))
	case SubjectCall:
		return sv.cfg.Explainer.ExplainCall(id)
	}
	return record.Explanation{}
}

func decisionRows(entries []record.Entry) []decisionRow {
	all := make([]decisionRow, 0, len(entries))
	for _, en := range entries {
		all = append(all, decisionRow{
			At:   formatTime(en.At),
			Text: en.Summary(),
		})
	}
	return all
}
