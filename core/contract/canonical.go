package contract

import "strings"

const upperHex = "0123456789ABCDEF"

// canonicalPath returns a path with each byte beyond ASCII percent-encoded with upper-case
// digits, so that a prefix written in plain letters matches requests in either form. ASCII
// stays as it is. Source: RFC 3986, sections 2.1 and 6.2.2.1.
func canonicalPath(path string) string {
	if !needsCanonicalForm(path) {
		return path
	}
	var sb strings.Builder
	sb.Grow(len(path) + 2*len(path))
	for i := 0; i < len(path); i++ {
		switch b := path[i]; {
		case b >= 0x80:
			sb.Write([]byte{'%', upperHex[b>>4], upperHex[b&15]})
		case isEncodedNonASCII(path[i:]):
			sb.WriteString(strings.ToUpper(path[i : i+3]))
			i += 2
		default:
			sb.WriteByte(b)
		}
	}
	return sb.String()
}

func needsCanonicalForm(path string) bool {
	for i := range len(path) {
		if path[i] >= 0x80 || path[i] == '%' {
			return true
		}
	}
	return false
}

// isEncodedNonASCII reports whether the text begins with a percent-encoded byte beyond ASCII.
func isEncodedNonASCII(text string) bool {
	return len(text) >= 3 && text[0] == '%' && strings.IndexByte("89abcdefABCDEF", text[1]) >= 0 &&
		strings.IndexByte("0123456789abcdefABCDEF", text[2]) >= 0
}
