package idempotency

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dotterellink/dotterellink/internal/platform"
)

// Cost of the removal of expired records. It grows with claims, not with
// instances: one list of a partition for sweepEvery claims, and at most
// maxDeletes deletions.
const (
	sweepEvery = 16
	maxDeletes = 4 * sweepEvery
	// sweepPause is the least time between two deletions.
	sweepPause = 20 * time.Millisecond
)

// noteClaim earns a part of a sweep.
func (c *Claims) noteClaim() {
	select {
	case c.finished <- struct{}{}:
	default:
	}
}

// Run removes expired records until ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	for claims := 1; ; claims++ {
		select {
		case <-c.finished:
		case <-ctx.Done():
			return ctx.Err()
		}
		if claims%sweepEvery == 0 {
			c.Sweep(ctx, rand.IntN(partitions))
		}
	}
}

// Sweep deletes expired records of one partition, from 0 to 4095, and returns
// their number.
func (c *Claims) Sweep(ctx context.Context, partition int) int {
	prefix := fmt.Sprintf("%s%0*x/", keyPrefix, partitionDigits, partition)
	objects, _, err := c.objects.List(ctx, prefix)
	if err != nil {
		c.log.Debugf("Expired claims not listed: %v.", err)
		return 0
	}
	deleted := 0
	for _, object := range objects {
		if deleted == maxDeletes || ctx.Err() != nil {
			break
		}
		if !c.isExpired(object) {
			continue
		}
		if err := c.objects.Delete(ctx, object.Key, object.Version); err != nil {
			c.log.Debugf("Expired claim not deleted: %v.", err)
			break
		}
		deleted++
		c.clock.Sleep(sweepPause)
	}
	c.metrics.swept.Add(float64(deleted))
	return deleted
}

func (c *Claims) isExpired(object platform.Object) bool {
	record, err := decode(object.Value)
	return err == nil && c.clock.Now().UnixMilli() >= record.ExpiresMS
}
