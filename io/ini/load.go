package ini

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"strings"

	"gopkg.in/ini.v1"
)

// Problem is one error in a settings file.
type Problem struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key"`
	Detail  string `json:"detail"`
	Remedy  string `json:"remedy"`
}

func (pr Problem) String() string {
	location := pr.File + ":"
	if pr.Section != "" {
		location += " [" + pr.Section + "]"
	}
	if pr.Key != "" {
		location += " " + pr.Key
	}
	location = strings.TrimSuffix(location, ":")
	return fmt.Sprintf("%s: %s: %s", location, pr.Detail, pr.Remedy)
}

// SettingsError reports all problems of a settings file.
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

// adapterSection is the section with the settings of the adapter for the platform's
// protocol; the adapter checks them itself.
const adapterSection = "surroundings"

// minLapseIntervals is the smallest lapse_after, in announcement intervals, so that the
// upstream stays usable when fewer announcements in a row are missing.
const minLapseIntervals = 4

// loader reads one file and collects its problems.
type loader struct {
	name     string
	file     *ini.File
	settings *Settings
	problems []Problem
}

// Load reads and checks a settings file. It fails with a SettingsError that holds all
// problems.
func Load(path string) (*Settings, error) {
	return load(path, path)
}

// Parse reads and checks settings from memory, like Load; errors give name as the file
// name.
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
		lo.add("", "", strings.TrimSpace(err.Error()), "write sections as [name] and keys as name = value")
		return nil, lo.err()
	}
	lo.file = fi
	lo.checkUnknown()
	for _, ke := range allKeys() {
		lo.readKey(ke)
	}
	lo.checkDependencies()
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

// checkUnknown reports unknown sections, and unknown or duplicate keys. It stores the
// adapter's section unchecked.
func (lo *loader) checkUnknown() {
	sections := map[string]bool{}
	known := map[string]bool{}
	for _, ke := range allKeys() {
		sections[ke.section] = true
		known[ke.section+"."+ke.name] = true
	}
	for _, se := range lo.file.Sections() {
		if se.Name() == ini.DefaultSection {
			lo.checkUnsectioned(se)
			continue
		}
		if se.Name() == adapterSection {
			lo.settings.AdapterSettings = se.KeysHash()
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

// checkUnsectioned reports keys outside of a section.
func (lo *loader) checkUnsectioned(se *ini.Section) {
	for _, ke := range se.Keys() {
		lo.add("", ke.Name(), "key outside of a section", "move it into its section")
	}
}

func (lo *loader) checkKey(section string, ke *ini.Key, known map[string]bool) {
	if !known[section+"."+ke.Name()] {
		lo.add(section, ke.Name(), "unknown key", "remove it or correct its name")
	}
	if len(ke.ValueWithShadows()) > 1 {
		lo.add(section, ke.Name(), "duplicate key", "keep only one")
	}
}

func (lo *loader) readKey(ke key) {
	text := strings.TrimSpace(lo.file.Section(ke.section).Key(ke.name).String())
	if text == "" {
		text = ke.defaultText
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

// checkDependencies sets the defaults that depend on other settings and runs the checks
// that involve several settings.
func (lo *loader) checkDependencies() {
	se := lo.settings
	if !se.Link.Advertise.IsValid() {
		se.Link.Advertise = se.Link.Listen
	}
	if se.Link.Advertise.IsValid() && se.Link.Advertise.Addr().IsUnspecified() {
		lo.add("link", "advertise", "other nodes can't connect to "+se.Link.Advertise.String(), "set the host's own IP address")
	}
	se.Upstream.LapseAfter = max(se.Upstream.LapseAfter, minLapseIntervals*se.Upstream.AnnounceEvery)
	lo.checkListenAddresses()
	lo.checkCertificates()
	if len(se.Operator.Tokens) == 0 && se.Operator.Listen.IsValid() && !se.Operator.Listen.Addr().IsLoopback() {
		lo.add("operator", "tokens", "required when the console listens on a non-loopback address", remedyTokens)
	}
}

// checkListenAddresses reports listeners with the same address, unless their port is 0.
func (lo *loader) checkListenAddresses() {
	se := lo.settings
	sections := map[netip.AddrPort]string{}
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
		if other, ok := sections[it.address]; ok {
			lo.add(it.section, "listen", it.address.String()+" is already the address of ["+other+"]", "use a different address for each listener")
			continue
		}
		sections[it.address] = it.section
	}
}

// checkCertificates checks that certificates and private keys are set together and
// match.
func (lo *loader) checkCertificates() {
	se := lo.settings
	files := []string{se.TLS.CertFile, se.TLS.KeyFile, se.TLS.CAFile}
	if n := countNonEmpty(files); n != 0 && n != len(files) {
		lo.add("tls", "cert_file", "only some of cert_file, key_file and ca_file are set", "set all three or none")
	}
	lo.checkKeyPair("tls", se.TLS.CertFile, se.TLS.KeyFile)
	console := []string{se.Operator.CertFile, se.Operator.KeyFile}
	if n := countNonEmpty(console); n == 1 {
		lo.add("operator", "cert_file", "only one of cert_file and key_file is set", "set both or none")
	}
	lo.checkKeyPair("operator", se.Operator.CertFile, se.Operator.KeyFile)
}

func (lo *loader) checkKeyPair(section, certFile, keyFile string) {
	if certFile == "" || keyFile == "" {
		return
	}
	if _, err := tls.LoadX509KeyPair(certFile, keyFile); err != nil {
		lo.add(section, "cert_file", err.Error(), "use a certificate and its private key, both in PEM")
	}
}

func countNonEmpty(values []string) int {
	n := 0
	for _, va := range values {
		if va != "" {
			n++
		}
	}
	return n
}
