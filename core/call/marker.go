package call

import "strconv"

// Headers that keep the layers of a deep chain from retrying on top of each
// other. Upstreams pass HeaderAttempt on with the calls that they make for a
// request, and HeaderGaveUp with an answer that fails because such a call failed.
const (
	// HeaderAttempt is on every request to an upstream: the number of the attempt,
	// or a higher one that came with the caller's request.
	HeaderAttempt = "Lynxfold-Attempt"
	// HeaderGaveUp is on every failed answer to a caller: this layer, or one below
	// it, has made all the attempts it could.
	HeaderGaveUp = "Lynxfold-Gave-Up"
)

// gaveUp is the value of HeaderGaveUp.
const gaveUp = "1"

// UpperRetries tells from a request's HeaderAttempt whether an upper layer's
// attempt is a retry already: then this layer makes none. A malformed value
// counts as a first attempt.
func UpperRetries(value string) bool { return attemptNumber(value) > 1 }

// AttemptMark is the HeaderAttempt that goes to the upstream with an attempt,
// given the one that came with the caller's request.
func AttemptMark(value string, number int) string {
	return strconv.Itoa(max(attemptNumber(value), number))
}

// maxAttemptNumber bounds what is read from a header.
const maxAttemptNumber = 100

func attemptNumber(value string) int {
	number, err := strconv.Atoi(value)
	if err != nil || number < 1 || number > maxAttemptNumber {
		return 1
	}
	return number
}

// GaveUp tells from an answer's HeaderGaveUp whether a lower layer gave up.
func GaveUp(value string) bool { return value == gaveUp }

// GaveUpMark is the HeaderGaveUp of the answer to a caller; empty means none.
func GaveUpMark(re Result) string {
	if re.GaveUp && failed(re) {
		return gaveUp
	}
	return ""
}
