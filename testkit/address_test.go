package testkit

import (
	"net"
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
