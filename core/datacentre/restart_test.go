package datacentre

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRestartOfAllHostsKeepsIntroductionRows restarts all hosts without contacts: they
// find each other by the rows, which are still valid.
func TestRestartOfAllHostsKeepsIntroductionRows(t *testing.T) {
	si := joinedMesh(t, 86, 4)
	si.run(2 * introductionUpdateInterval)
	rows := len(si.contacts)
	assert.Equal(t, rows, 4)
	for _, id := range si.hostIDs {
		si.kill(id)
	}
	si.introductionWrites = 0
	for _, id := range si.hostIDs {
		si.startHost(id)
	}
	si.run(3 * time.Second)
	for name, addresses := range si.contacts {
		assert.Check(t, len(addresses) > 1, "the row of %s lists %d host", name, len(addresses))
	}
	assert.Check(t, si.introductionWrites <= 2*rows, "%d writes of %d rows", si.introductionWrites, rows)
	si.converge(20 * time.Second)
	assert.Equal(t, len(si.violations), 0, "%q", si.violations)
}
