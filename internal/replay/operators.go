package replay

import (
	"context"
	"net/http"

	"github.com/dotterellink/dotterellink/internal/operator"
	"github.com/dotterellink/dotterellink/internal/operator/operatorclient"
)

// operatorClient calls the operator API of the first address that answers.
type operatorClient struct {
	addresses []string
	token     string
}

// do repeats a call at the next address after any failure: while faults come,
// an instance may die or hang. The calls of a replay may all be repeated.
func (c *operatorClient) do(ctx context.Context, method, path string, body, out any) error {
	var last error
	for _, address := range c.addresses {
		last = operatorclient.New(address, c.token).Do(ctx, method, path, body, out)
		if last == nil {
			return nil
		}
	}
	return last
}

func (c *operatorClient) change(ctx context.Context, method, path string) error {
	return c.do(ctx, method, path, nil, nil)
}

// createKeys creates a key for each account.
func (c *operatorClient) createKeys(ctx context.Context, accounts []string) (map[string]string, []string, error) {
	keys := make(map[string]string)
	var ids []string
	for _, account := range accounts {
		var answer operator.NewKeyAnswer
		err := c.do(ctx, http.MethodPost, "/keys", operator.NewKeyRequest{Account: account}, &answer)
		if err != nil {
			return nil, ids, err
		}
		keys[account] = answer.Key
		ids = append(ids, answer.ID)
	}
	return keys, ids, nil
}
