// Package operatorclient calls the operator API of one instance.
package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/operator"
)

// Errors of calls. A StatusError stands for every other failure.
var (
	// ErrNotReached means that no connection was made, so that the call had no
	// effect.
	ErrNotReached = merry.Sentinel("operatorclient: instance not reached")
	// ErrNoAnswer means that the call was sent and its answer lost.
	ErrNoAnswer = merry.Sentinel("operatorclient: no answer")
	// ErrEncoding means that the request or the answer is no JSON.
	ErrEncoding = merry.Sentinel("operatorclient: bad encoding")
)

const requestTimeout = 30 * time.Second

// StatusError is an answer that is an error.
type StatusError struct {
	Status  int
	Problem operator.Problem
}

// Error implements error.
func (e *StatusError) Error() string {
	message := e.Problem.Error
	if message == "" {
		message = fmt.Sprintf("status %d", e.Status)
	}
	if e.Problem.Hint != "" {
		message += "; " + e.Problem.Hint
	}
	return message
}

// Client calls one instance. It is safe for concurrent use.
type Client struct {
	address string
	token   string
	http    *http.Client
}

// New returns a client of the operator API at address, IP:PORT.
func New(address, token string) *Client {
	return &Client{address: address, token: token, http: &http.Client{Timeout: requestTimeout}}
}

// Do sends body, as it is if it is a []byte and as JSON otherwise, and decodes
// the answer into out. Body and out may be nil.
func (c *Client) Do(ctx context.Context, method, path string, body, out any) error {
	raw, err := encode(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+"/operator/v1"+path, bytes.NewReader(raw))
	if err != nil {
		return merry.Wrap(ErrNotReached, merry.WithCause(err))
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return classify(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return merry.Wrap(ErrNoAnswer, merry.WithCause(err))
	}
	return decode(response.StatusCode, answer, out)
}

func encode(body any) ([]byte, error) {
	if raw, ok := body.([]byte); ok || body == nil {
		return raw, nil
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, merry.Wrap(ErrEncoding, merry.WithCause(err))
	}
	return raw, nil
}

func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return merry.Wrap(ErrNotReached, merry.WithCause(err))
	}
	return merry.Wrap(ErrNoAnswer, merry.WithCause(err))
}

func decode(status int, answer []byte, out any) error {
	if status < http.StatusOK || status >= http.StatusMultipleChoices {
		failed := &StatusError{Status: status}
		_ = json.Unmarshal(answer, &failed.Problem)
		return failed
	}
	if out == nil || status == http.StatusNoContent {
		return nil
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return merry.Wrap(ErrEncoding, merry.WithCause(err))
	}
	return nil
}
