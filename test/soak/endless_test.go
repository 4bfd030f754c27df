package soak_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// memoryBudget is what an instance may occupy, in KiB.
	memoryBudget = 64 << 10
	// endlessTargets send bytes without end at once, while endlessCallers call.
	endlessTargets = 20
	endlessCallers = 40
	endlessFor     = 6 * time.Second
)

var _ = Describe("An instance", func() {
	It("stays within 64 MB while twenty targets send bytes without end, and tells callers the truth", func() {
		w := newWorld(1, 1)
		defer w.end()
		for _, t := range w.allTargets() {
			t.behave(behaviour{endless: 1})
		}
		for i := range endlessTargets {
			w.startTarget([]string{"alpha", "beta"}[i%2], zones[i%len(zones)], nil).behave(behaviour{endless: 1})
		}
		calling, stop := context.WithTimeout(context.Background(), endlessFor)
		defer stop()
		var callers sync.WaitGroup
		for range endlessCallers {
			callers.Go(func() { w.callOn(w.instances[0], calling) })
		}
		callers.Wait()
		peak := peakMemory(w.instances[0])
		GinkgoWriter.Printf("peak memory %d KiB\n", peak)
		Expect(peak).To(BeNumerically("<", memoryBudget))
		Expect(w.book.judge(w)).To(BeEmpty())
		w.book.mu.Lock()
		defer w.book.mu.Unlock()
		statuses := make(map[int]int)
		for _, r := range w.book.records {
			statuses[r.status]++
		}
		GinkgoWriter.Printf("calls by status: %v\n", statuses)
		Expect(statuses[502] + statuses[504]).To(BeNumerically(">", 100))
	})
})

// peakMemory returns the largest resident memory of an instance so far, in KiB.
func peakMemory(n *instance) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	_, rest, found := strings.Cut(string(data), "VmHWM:")
	Expect(found).To(BeTrue())
	peak, err := strconv.Atoi(strings.Fields(rest)[0])
	Expect(err).NotTo(HaveOccurred())
	return peak
}
