package node

import (
	"testing"

	"go.uber.org/goleak"

	"lynxfold/testkit"
)

func TestMain(m *testing.M) {
	testkit.SetRapidFlags()
	goleak.VerifyTestMain(m)
}
