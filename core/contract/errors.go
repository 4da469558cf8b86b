package contract

import (
	"fmt"
	"strings"
)

// Fault is the kind of an error in one field of a document.
type Fault string

// Kinds of errors in fields.
const (
	FaultMissing            Fault = "missing"
	FaultBadName            Fault = "bad_name"
	FaultDuplicate          Fault = "duplicate"
	FaultUnknownService     Fault = "unknown_service"
	FaultUnknownContract    Fault = "unknown_contract"
	FaultUnknownRoute       Fault = "unknown_route"
	FaultCyclicFallback     Fault = "cyclic_fallback"
	FaultImpossibleDeadline Fault = "impossible_deadline"
	FaultOutOfRange         Fault = "out_of_range"
	FaultBadPath            Fault = "bad_path"
	FaultBadMethod          Fault = "bad_method"
	FaultContradiction      Fault = "contradiction"
	FaultOverlap            Fault = "overlap"
	FaultSharedKey          Fault = "shared_key"
	FaultBadKey             Fault = "bad_key"
)

// SyntaxError reports a document or delta that is not valid JSON or does not fit
// its type.
type SyntaxError struct {
	Detail string
}

func (er *SyntaxError) Error() string {
	return "document syntax: " + er.Detail
}

// FieldError reports one invalid field by its path, such as routes[2].service.
type FieldError struct {
	Path   string `json:"path"`
	Fault  Fault  `json:"fault"`
	Detail string `json:"detail"`
}

func (er *FieldError) Error() string {
	return fmt.Sprintf("%s: %s: %s", er.Path, er.Fault, er.Detail)
}

// ValidationError reports all invalid fields of a document.
type ValidationError struct {
	Fields []FieldError
}

func (er *ValidationError) Error() string {
	lines := make([]string, 0, len(er.Fields))
	for i := range er.Fields {
		lines = append(lines, er.Fields[i].Error())
	}
	return "invalid document: " + strings.Join(lines, "; ")
}

// DeltaError reports a delta that does not fit the snapshot to which it was applied.
type DeltaError struct {
	Base   Version
	Result Version
	Detail string
}

func (er *DeltaError) Error() string {
	return fmt.Sprintf("delta %d to %d: %s", er.Base, er.Result, er.Detail)
}

// DigestError reports a configuration whose content does not match its digest.
type DigestError struct {
	Version Version
	Want    Digest
	Got     Digest
}

func (er *DigestError) Error() string {
	return fmt.Sprintf("version %d: digest is %s, want %s", er.Version, er.Got, er.Want)
}
