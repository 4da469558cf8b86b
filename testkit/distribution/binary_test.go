package distribution_test

// The tests run the built program; with this import a cached result counts only
// while the program's code is the same.
import _ "lynxfold/cmd"
