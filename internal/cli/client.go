// Package cli is the command-line tool of operators and testers. It talks to
// the operator API of any instance.
package cli

import (
	"context"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/operator/operatorclient"
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

// client calls the operator API of the first address that takes the connection.
type client struct {
	addresses []string
	token     string
}

func newClient(addresses []string, token string) *client {
	return &client{addresses: addresses, token: token}
}

// get reads the resource at path into out.
func (c *client) get(ctx context.Context, path string, out any) error {
	return c.send(ctx, http.MethodGet, path, nil, out)
}

// send tries the addresses in turn until one takes the connection. A request
// that was sent is not repeated at another address.
func (c *client) send(ctx context.Context, method, path string, body, out any) error {
	var last error
	for _, address := range c.addresses {
		last = operatorclient.New(address, c.token).Do(ctx, method, path, body, out)
		if !errors.Is(last, operatorclient.ErrNotReached) {
			break
		}
	}
	return c.translate(method, last)
}

// translate turns errors of the API into those of the tool.
func (c *client) translate(method string, err error) error {
	var failed *operatorclient.StatusError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &failed):
		return merry.Wrap(statusError(failed.Status), merry.AppendMessage(failed.Error()))
	case errors.Is(err, operatorclient.ErrNotReached), method == http.MethodGet && errors.Is(err, operatorclient.ErrNoAnswer):
		return merry.Wrap(ErrUnavailable, merry.AppendMessage(err.Error()))
	case errors.Is(err, operatorclient.ErrNoAnswer):
		return merry.Wrap(ErrUnknown, merry.AppendMessagef("%v; look at 'dotterellink environment history' before trying again", err))
	}
	return merry.Wrap(ErrFailed, merry.WithCause(err))
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
