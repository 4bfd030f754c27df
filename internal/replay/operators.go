package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/operator"
)

// operatorClient calls the operator API of the first address that answers.
type operatorClient struct {
	addresses []string
	token     string
}

func (c *operatorClient) do(ctx context.Context, method, path string, body, out any) error {
	var last error
	for _, address := range c.addresses {
		last = c.try(ctx, address, method, path, body, out)
		if last == nil {
			return nil
		}
	}
	return last
}

func (c *operatorClient) try(ctx context.Context, address, method, path string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/operator/v1"+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return merry.Wrap(ErrSetup, merry.AppendMessagef("%s %s: status %d", method, path, response.StatusCode))
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(out)
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
