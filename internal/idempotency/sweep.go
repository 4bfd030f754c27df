package idempotency

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dotterellink/dotterellink/internal/platform"
)

// Limits on the cost of removing expired records. The cost grows with the number of
// claims, not of instances: each claimsPerSweep claims cause one list of a partition
// and at most maxDeletesPerSweep deletions.
const (
	claimsPerSweep     = 16
	maxDeletesPerSweep = 4 * claimsPerSweep
	// deletePause is the minimum time between two deletions.
	deletePause = 20 * time.Millisecond
)

// notifySweeper counts a claim towards the next sweep. It never blocks: if Run is too
// far behind, the claim is not counted.
func (c *Claims) notifySweeper() {
	select {
	case c.claimed <- struct{}{}:
	default:
	}
}

// Run removes expired records until ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	for claims := 1; ; claims++ {
		select {
		case <-c.claimed:
		case <-ctx.Done():
			return ctx.Err()
		}
		if claims%claimsPerSweep == 0 {
			c.Sweep(ctx, rand.IntN(partitions))
		}
	}
}

// Sweep deletes expired records of one partition, from 0 to 4095, and returns the
// number of deleted records.
func (c *Claims) Sweep(ctx context.Context, partition int) int {
	prefix := fmt.Sprintf("%s%0*x/", keyPrefix, partitionDigits, partition)
	objects, _, err := c.objects.List(ctx, prefix)
	if err != nil {
		c.log.Debugf("Could not list idempotency records: %v.", err)
		return 0
	}
	deleted := 0
	for _, object := range objects {
		if deleted == maxDeletesPerSweep || ctx.Err() != nil {
			break
		}
		if !c.isExpired(object) {
			continue
		}
		if err := c.objects.Delete(ctx, object.Key, object.Version); err != nil {
			c.log.Debugf("Could not delete an expired idempotency record: %v.", err)
			break
		}
		deleted++
		c.clock.Sleep(deletePause)
	}
	c.metrics.swept.Add(float64(deleted))
	return deleted
}

func (c *Claims) isExpired(object platform.Object) bool {
	record, err := decode(object.Value)
	return err == nil && c.clock.Now().UnixMilli() >= record.ExpiresMS
}
