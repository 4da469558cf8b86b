package call

import "strconv"

// Headers that prevent retry amplification across the layers of a call chain.
// Upstreams pass HeaderAttempt on with the calls that they make for a request, and
// HeaderGaveUp with a response that fails because such a call failed.
const (
	// HeaderAttempt is set on every request to an upstream. It is the number of the
	// attempt, or the one in the caller's request if that is higher.
	HeaderAttempt = "Lynxfold-Attempt"
	// HeaderGaveUp is set on every failed response to a caller: this layer, or one
	// below it, has used up its retries.
	HeaderGaveUp = "Lynxfold-Gave-Up"
)

// gaveUpValue is the value of HeaderGaveUp.
const gaveUpValue = "1"

// UpperLayerRetries reports whether a request's HeaderAttempt marks it as a retry by an
// upper layer; this layer then makes none. A malformed value counts as a first
// attempt.
func UpperLayerRetries(value string) bool { return parseAttemptNumber(value) > 1 }

// AttemptHeaderValue returns the HeaderAttempt of an attempt, given the value in the
// caller's request and the number of the attempt.
func AttemptHeaderValue(value string, number int) string {
	return strconv.Itoa(max(parseAttemptNumber(value), number))
}

// maxAttemptNumber is the highest value accepted in a header.
const maxAttemptNumber = 100

func parseAttemptNumber(value string) int {
	number, err := strconv.Atoi(value)
	if err != nil || number < 1 || number > maxAttemptNumber {
		return 1
	}
	return number
}

// ParseGaveUp reports whether a response's HeaderGaveUp says that a lower layer has
// used up its retries.
func ParseGaveUp(value string) bool { return value == gaveUpValue }

// GaveUpHeaderValue returns the HeaderGaveUp of the response to a caller; empty if the
// header is not set.
func GaveUpHeaderValue(re Result) string {
	if re.GaveUp && isFailure(re) {
		return gaveUpValue
	}
	return ""
}
