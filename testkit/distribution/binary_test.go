package distribution_test

// The tests run the built binary. This import invalidates cached test results when
// the program's code changes.
import _ "lynxfold/cmd"
