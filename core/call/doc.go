// Package call decides how one call is answered: which upstream it is sent to,
// whether it is tried again, and what its caller is told.
package call
