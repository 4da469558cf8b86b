package main

import (
	"runtime"
	"testing"

	"lynxfold/bench/capacity"
)

// series measures one value at each size.
func series(sizes []int, value func(size int) float64) []capacity.Point {
	points := make([]capacity.Point, 0, len(sizes))
	for _, si := range sizes {
		points = append(points, capacity.Point{
			Size:  float64(si),
			Value: value(si),
		})
	}
	return points
}

// heapOf measures the live heap that a value holds, in bytes.
func heapOf(build func() any) float64 {
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

// timeOf measures the processor time of one operation, in microseconds. The
// operation runs on one goroutine, so that wall time stands for processor time.
func timeOf(operation func()) float64 {
	re := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			operation()
		}
	})
	return float64(re.T.Nanoseconds()) / float64(re.N) / 1000
}
