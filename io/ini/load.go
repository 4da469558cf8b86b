package ini

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"strings"

	"gopkg.in/ini.v1"
)

// Problem is one fault in a settings file.
type Problem struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key"`
	Detail  string `json:"detail"`
	Remedy  string `json:"remedy"`
}

func (pr Problem) String() string {
	place := pr.File + ":"
	if pr.Section != "" {
		place += " [" + pr.Section + "]"
	}
	if pr.Key != "" {
		place += " " + pr.Key
	}
	place = strings.TrimSuffix(place, ":")
	return fmt.Sprintf("%s: %s: %s", place, pr.Detail, pr.Remedy)
}

// SettingsError holds every fault of a settings file.
type SettingsError struct {
	Problems []Problem
}

func (er *SettingsError) Error() string {
	lines := make([]string, 0, len(er.Problems))
	for _, pr := range er.Problems {
		lines = append(lines, pr.String())
	}
	return strings.Join(lines, "\n")
}

// sectionSurroundings holds values that only the adapter of the surroundings
// knows; the adapter checks them.
const sectionSurroundings = "surroundings"

// announcementsKept is how many announcements in a row may be missing.
const announcementsKept = 4

// loader collects the problems of one file.
type loader struct {
	name     string
	file     *ini.File
	settings *Settings
	problems []Problem
}

// Load reads and checks a settings file; every fault is in the SettingsError.
func Load(path string) (*Settings, error) {
	return load(path, path)
}

// Parse reads and checks settings from memory; name stands for the file in errors.
func Parse(name string, data []byte) (*Settings, error) {
	return load(name, data)
}

func load(name string, source any) (*Settings, error) {
	lo := &loader{
		name:     name,
		settings: &Settings{},
	}
	fi, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, source)
	if err != nil {
		lo.add("", "", strings.TrimSpace(err.Error()), "write sections in brackets and keys as name = value")
		return nil, lo.err()
	}
	lo.file = fi
	lo.checkUnknown()
	for _, ke := range keys() {
		lo.read(ke)
	}
	lo.checkTogether()
	if err := lo.err(); err != nil {
		return nil, err
	}
	return lo.settings, nil
}

func (lo *loader) add(section, key, detail, remedy string) {
	lo.problems = append(lo.problems, Problem{
		File:    lo.name,
		Section: section,
		Key:     key,
		Detail:  detail,
		Remedy:  remedy,
	})
}

func (lo *loader) err() error {
	if len(lo.problems) == 0 {
		return nil
	}
	return &SettingsError{Problems: lo.problems}
}

func (lo *loader) checkUnknown() {
	sections := map[string]bool{}
	known := map[string]bool{}
	for _, ke := range keys() {
		sections[ke.section] = true
		known[ke.section+"."+ke.name] = true
	}
	for _, se := range lo.file.Sections() {
		if se.Name() == ini.DefaultSection {
			lo.checkStray(se)
			continue
		}
		if se.Name() == sectionSurroundings {
			lo.settings.Surroundings = se.KeysHash()
			continue
		}
		if !sections[se.Name()] {
			lo.add(se.Name(), "", "unknown section", "remove it or correct its name")
			continue
		}
		for _, ke := range se.Keys() {
			lo.checkKey(se.Name(), ke, known)
		}
	}
}

// checkStray reports keys that stand before the first section.
func (lo *loader) checkStray(se *ini.Section) {
	for _, ke := range se.Keys() {
		lo.add("", ke.Name(), "stands before the first section", "move it below the section that it belongs to")
	}
}

func (lo *loader) checkKey(section string, ke *ini.Key, known map[string]bool) {
	if !known[section+"."+ke.Name()] {
		lo.add(section, ke.Name(), "unknown key", "remove it or correct its name")
	}
	if len(ke.ValueWithShadows()) > 1 {
		lo.add(section, ke.Name(), "is there twice", "keep one of them")
	}
}

func (lo *loader) read(ke key) {
	text := strings.TrimSpace(lo.file.Section(ke.section).Key(ke.name).String())
	if text == "" {
		text = ke.fallback
	}
	if text == "" {
		if ke.required {
			lo.add(ke.section, ke.name, "missing", ke.remedy)
		}
		return
	}
	if err := ke.set(lo.settings, text); err != nil {
		detail := fmt.Sprintf("%q: %v", text, err)
		if ke.secret {
			detail = err.Error()
		}
		lo.add(ke.section, ke.name, detail, ke.remedy)
	}
}

// checkTogether checks settings that depend on one another.
func (lo *loader) checkTogether() {
	se := lo.settings
	if !se.Link.Advertise.IsValid() {
		se.Link.Advertise = se.Link.Listen
	}
	if se.Link.Advertise.IsValid() && se.Link.Advertise.Addr().IsUnspecified() {
		lo.add("link", "advertise", "other nodes can't reach "+se.Link.Advertise.String(), "give the host's own IP address")
	}
	se.Upstream.LapseAfter = max(se.Upstream.LapseAfter, announcementsKept*se.Upstream.AnnounceEvery)
	lo.checkAddresses()
	lo.checkKeys()
	if len(se.Operator.Tokens) == 0 && se.Operator.Listen.IsValid() && !se.Operator.Listen.Addr().IsLoopback() {
		lo.add("operator", "tokens", "missing for a console that other hosts reach", remedyTokens)
	}
}

// checkAddresses finds listeners that would take each other's port.
func (lo *loader) checkAddresses() {
	se := lo.settings
	taken := map[netip.AddrPort]string{}
	for _, it := range []struct {
		section string
		address netip.AddrPort
	}{
		{section: "link", address: se.Link.Listen},
		{section: "caller", address: se.Caller.Listen},
		{section: "upstream", address: se.Upstream.Listen},
		{section: "operator", address: se.Operator.Listen},
		{section: "health", address: se.Health.Listen},
	} {
		if !it.address.IsValid() || it.address.Port() == 0 {
			continue
		}
		if other, ok := taken[it.address]; ok {
			lo.add(it.section, "listen", it.address.String()+" is that of ["+other+"] too", "give each listener an address of its own")
			continue
		}
		taken[it.address] = it.section
	}
}

// checkKeys checks that certificates and keys are complete and fit together.
func (lo *loader) checkKeys() {
	se := lo.settings
	files := []string{se.TLS.CertFile, se.TLS.KeyFile, se.TLS.CAFile}
	if n := countSet(files); n != 0 && n != len(files) {
		lo.add("tls", "cert_file", "only some of cert_file, key_file and ca_file are there", "give all three or none")
	}
	lo.checkPair("tls", se.TLS.CertFile, se.TLS.KeyFile)
	console := []string{se.Operator.CertFile, se.Operator.KeyFile}
	if n := countSet(console); n == 1 {
		lo.add("operator", "cert_file", "only one of cert_file and key_file is there", "give both or none")
	}
	lo.checkPair("operator", se.Operator.CertFile, se.Operator.KeyFile)
}

func (lo *loader) checkPair(section, certFile, keyFile string) {
	if certFile == "" || keyFile == "" {
		return
	}
	if _, err := tls.LoadX509KeyPair(certFile, keyFile); err != nil {
		lo.add(section, "cert_file", err.Error(), "give a certificate and its private key, both PEM")
	}
}

func countSet(values []string) int {
	n := 0
	for _, va := range values {
		if va != "" {
			n++
		}
	}
	return n
}
