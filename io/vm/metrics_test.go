package vm

import (
	"sync"
	"testing"
)

// VMs of one process start at the same time. If each found that no metrics had been
// published yet, the second to publish them would panic and end the process.
func TestVMsThatStartTogetherPublishOnce(t *testing.T) {
	var wg sync.WaitGroup
	begin := make(chan struct{})
	for range 64 {
		wg.Go(func() {
			<-begin
			(&VM{}).publishMetrics()
		})
	}
	close(begin)
	wg.Wait()
}
