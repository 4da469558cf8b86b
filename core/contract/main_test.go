package contract_test

import (
	"testing"

	"lynxfold/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }
