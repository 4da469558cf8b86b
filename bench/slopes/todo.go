package main

import "lynxfold/bench/capacity"

func measureGate() ([]capacity.Slope, error)    { return nil, nil }
func measureReaders() ([]capacity.Slope, error) { return nil, nil }
func measureLinks() ([]capacity.Slope, error)   { return nil, nil }
