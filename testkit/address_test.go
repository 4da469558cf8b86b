package testkit

import (
	"net"
	"os/exec"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFreeAddressStaysFree guards against a search for a free address that occupies for a
// moment an address that another test has been given and is about to listen on.
func TestFreeAddressStaysFree(t *testing.T) {
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for range 100 {
				address := FreeAddress(t)
				for range 10 {
					li, err := net.Listen("tcp", address)
					if !assert.Check(t, err) {
						return
					}
					_ = li.Close()
				}
			}
		})
	}
	wg.Wait()
}

// TestFreeAddressBesideStartingProcesses guards against a process that inherits the socket
// with which FreeAddress has tried an address, and holds it until it executes its program.
func TestFreeAddressBesideStartingProcesses(t *testing.T) {
	stop := make(chan struct{})
	var starting, listening sync.WaitGroup
	for range 8 {
		starting.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("true").Run()
				}
			}
		})
	}
	for range 4 {
		listening.Go(func() {
			for range 200 {
				li, err := net.Listen("tcp", FreeAddress(t))
				if !assert.Check(t, err) {
					return
				}
				_ = li.Close()
			}
		})
	}
	listening.Wait()
	close(stop)
	starting.Wait()
}
