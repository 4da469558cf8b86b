package host

import (
	"strconv"
	"strings"
)

// AttemptID identifies one attempt at a call; it is unique in the mesh. Its format is
// host.incarnation.call.try, followed by an i when the call is idempotent.
type AttemptID string

// Issuer identifies the node process that issued an attempt.
type Issuer struct {
	Host        ID
	Incarnation Incarnation
}

// Origin is the parsed form of an AttemptID.
type Origin struct {
	Issuer Issuer
	// Call is the number of the call; it increases with each call of the issuer.
	Call uint64
	// Try is the number of the attempt at the call, starting at 1.
	Try uint32
	// Idempotent attempts may run more than once; a gate keeps the records of ended
	// attempts only for the others.
	Idempotent bool
}

// ID formats the origin as an attempt ID.
func (or Origin) ID() AttemptID {
	buf := make([]byte, 0, len(or.Issuer.Host)+48)
	buf = append(buf, or.Issuer.Host...)
	buf = append(buf, '.')
	buf = strconv.AppendUint(buf, uint64(or.Issuer.Incarnation), 10)
	buf = append(buf, '.')
	buf = strconv.AppendUint(buf, or.Call, 10)
	buf = append(buf, '.')
	buf = strconv.AppendUint(buf, uint64(or.Try), 10)
	if or.Idempotent {
		buf = append(buf, 'i')
	}
	return AttemptID(buf)
}

// Origin parses the ID; it returns false when the ID is malformed.
func (id AttemptID) Origin() (Origin, bool) {
	rest, idempotent := strings.CutSuffix(string(id), "i")
	rest, try, ok := cutLastNumber(rest, 32)
	if !ok {
		return Origin{}, false
	}
	rest, call, ok := cutLastNumber(rest, 64)
	if !ok {
		return Origin{}, false
	}
	rest, inc, ok := cutLastNumber(rest, 64)
	if !ok || rest == "" {
		return Origin{}, false
	}
	return Origin{
		Issuer: Issuer{
			Host:        ID(rest),
			Incarnation: Incarnation(inc),
		},
		Call:       call,
		Try:        uint32(try),
		Idempotent: idempotent,
	}, true
}

// cutLastNumber splits off the number after the last dot.
func cutLastNumber(text string, bits int) (string, uint64, bool) {
	at := strings.LastIndexByte(text, '.')
	if at < 0 {
		return "", 0, false
	}
	num, err := strconv.ParseUint(text[at+1:], 10, bits)
	return text[:at], num, err == nil
}
