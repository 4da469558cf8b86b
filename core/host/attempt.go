package host

import (
	"strconv"
	"strings"
)

// AttemptID names one attempt at a call; it is unique in the mesh. Its form is
// host.incarnation.call.try, with an i at the end when the call is idempotent.
type AttemptID string

// Issuer is the node that an attempt comes from.
type Issuer struct {
	Host        ID
	Incarnation Incarnation
}

// Origin is what an attempt's id says about where it comes from.
type Origin struct {
	Issuer Issuer
	// Call grows with each call of the issuer.
	Call uint64
	// Try counts the attempts at the call, from 1.
	Try uint32
	// Idempotent attempts may run more than once; a gate remembers only the others.
	Idempotent bool
}

// ID is the attempt's id.
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

// Origin reads the id, or reports that it is malformed.
func (id AttemptID) Origin() (Origin, bool) {
	rest, idempotent := strings.CutSuffix(string(id), "i")
	rest, try, ok := cutLast(rest, 32)
	if !ok {
		return Origin{}, false
	}
	rest, call, ok := cutLast(rest, 64)
	if !ok {
		return Origin{}, false
	}
	rest, inc, ok := cutLast(rest, 64)
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

// cutLast cuts the number after the last point.
func cutLast(text string, bits int) (string, uint64, bool) {
	at := strings.LastIndexByte(text, '.')
	if at < 0 {
		return "", 0, false
	}
	num, err := strconv.ParseUint(text[at+1:], 10, bits)
	return text[:at], num, err == nil
}
