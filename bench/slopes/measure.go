package main

import (
	"runtime"
	"testing"

	"lynxfold/bench/capacity"
)

// measurePoints measures one value at each size.
func measurePoints(sizes []int, value func(size int) float64) []capacity.Point {
	points := make([]capacity.Point, 0, len(sizes))
	for _, si := range sizes {
		points = append(points, capacity.Point{
			Size:  float64(si),
			Value: value(si),
		})
	}
	return points
}

// heapBytes measures the live heap that a value holds.
func heapBytes(build func() any) float64 {
	before := liveHeap()
	va := build()
	after := liveHeap()
	runtime.KeepAlive(va)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}

// operationMicros measures the CPU time of one operation, in microseconds. The
// operation runs on one goroutine, so wall time approximates CPU time.
func operationMicros(operation func()) float64 {
	re := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			operation()
		}
	})
	return float64(re.T.Nanoseconds()) / float64(re.N) / 1000
}
