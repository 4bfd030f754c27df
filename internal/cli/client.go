// Package cli is the command-line tool of operators and testers. It talks to
// the operator API of any instance.
package cli

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

// Errors of the tool. Each has its own exit code.
var (
	ErrUsage       = merry.Sentinel("bad usage")
	ErrNotAllowed  = merry.Sentinel("not allowed")
	ErrInvalid     = merry.Sentinel("invalid document")
	ErrConflict    = merry.Sentinel("another change came first")
	ErrUnavailable = merry.Sentinel("not reached; nothing was changed")
	ErrUnknown     = merry.Sentinel("outcome unknown")
	ErrNotFound    = merry.Sentinel("not found")
	ErrMissed      = merry.Sentinel("stated outcome missed")
	ErrFailed      = merry.Sentinel("failed")
)

const requestTimeout = 30 * time.Second

// client calls the operator API.
type client struct {
	addresses []string
	token     string
	http      *http.Client
}

func newClient(addresses []string, token string) *client {
	return &client{addresses: addresses, token: token, http: &http.Client{Timeout: requestTimeout}}
}

// get reads the resource at path into out.
func (c *client) get(ctx context.Context, path string, out any) error {
	return c.do(ctx, http.MethodGet, path, nil, out)
}

// send makes a change and reads the answer into out. The body is sent as it is
// if it is a []byte, else as JSON.
func (c *client) send(ctx context.Context, method, path string, body, out any) error {
	raw, ok := body.([]byte)
	if !ok && body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return merry.Wrap(ErrUsage, merry.WithCause(err))
		}
	}
	return c.do(ctx, method, path, raw, out)
}

// do tries the addresses in turn until one takes the connection. A request that
// was sent is not repeated at another address.
func (c *client) do(ctx context.Context, method, path string, body []byte, out any) error {
	var last error
	for _, address := range c.addresses {
		answer, status, err := c.try(ctx, address, method, path, body)
		if isDialError(err) {
			last = merry.Wrap(ErrUnavailable, merry.AppendMessage(err.Error()))
			continue
		}
		if err != nil && method == http.MethodGet {
			return merry.Wrap(ErrUnavailable, merry.AppendMessage(err.Error()))
		}
		if err != nil {
			return merry.Wrap(ErrUnknown, merry.AppendMessagef("%v; look at 'dotterellink environment history' before trying again", err))
		}
		return readAnswer(answer, status, out)
	}
	return last
}

func (c *client) try(ctx context.Context, address, method, path string, body []byte) ([]byte, int, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/operator/v1"+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return answer, response.StatusCode, err
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func readAnswer(answer []byte, status int, out any) error {
	if status >= 200 && status < 300 {
		if out == nil || status == http.StatusNoContent {
			return nil
		}
		if err := json.Unmarshal(answer, out); err != nil {
			return merry.Wrap(ErrFailed, merry.WithCause(err))
		}
		return nil
	}
	var problem operator.Problem
	_ = json.Unmarshal(answer, &problem)
	message := problem.Error
	if message == "" {
		message = fmt.Sprintf("status %d", status)
	}
	if problem.Hint != "" {
		message += "; " + problem.Hint
	}
	return merry.Wrap(statusError(status), merry.AppendMessage(message))
}

func statusError(status int) error {
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return ErrNotAllowed
	case http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		return ErrInvalid
	case http.StatusConflict:
		return ErrConflict
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	case http.StatusGatewayTimeout:
		return ErrUnknown
	}
	return ErrFailed
}
