package entry

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/dotterellink/dotterellink/internal/keys"
	"github.com/dotterellink/dotterellink/internal/relay"
)

// HeaderIdempotencyKey names a caller's own key of a request.
const HeaderIdempotencyKey = "Idempotency-Key"

const maxIdempotencyKeyBytes = 255

// invoke serves /services/NAME/...
func (s *Server) invoke(c echo.Context) error {
	account, err := s.authenticate(c)
	if err != nil {
		return err
	}
	call, err := s.readServiceCall(c, account)
	if err != nil {
		return err
	}
	ctx, cancel := withDeadline(c.Request().Context(), s.clock, call.Deadline)
	defer cancel()
	reply, err := s.relay.Invoke(ctx, call)
	if err != nil {
		return err
	}
	header := c.Response().Header()
	for name, values := range reply.Header {
		if !isHopByHop(name) && name != HeaderRequestID {
			header[name] = values
		}
	}
	return c.Blob(reply.Status, reply.Header.Get(echo.HeaderContentType), reply.Body)
}

func (s *Server) readServiceCall(c echo.Context, account string) (*relay.ServiceCall, error) {
	request := c.Request()
	service := s.views.View().Service(c.Param("name"))
	if service == nil {
		return nil, &apiError{status: http.StatusNotFound, kind: "invalid_request_error", code: "service_not_found", message: "no service " + c.Param("name"), outcome: OutcomeNotRun}
	}
	idempotencyKey := request.Header.Get(HeaderIdempotencyKey)
	if len(idempotencyKey) > maxIdempotencyKeyBytes {
		return nil, badField(HeaderIdempotencyKey, "must have at most %d bytes", maxIdempotencyKeyBytes)
	}
	if keys.Leaks(request.URL.RawQuery) {
		return nil, badField("query", "must not hold a key")
	}
	_, deadline, err := s.urgency(c)
	if err != nil {
		return nil, err
	}
	body, err := readBody(c)
	if err != nil {
		return nil, err
	}
	path := "/" + c.Param("*")
	return &relay.ServiceCall{
		ID:             c.Get(requestIDKey).(string),
		Account:        account,
		Service:        service.Name,
		Method:         request.Method,
		Path:           path,
		RawQuery:       request.URL.RawQuery,
		Header:         forwardedHeader(request.Header),
		Body:           body,
		Idempotent:     service.IsIdempotent(request.Method, path),
		IdempotencyKey: idempotencyKey,
		Deadline:       deadline,
	}, nil
}

// forwardedHeader returns the headers that a plain service may see: none that
// holds a caller's credentials or belongs to the connection.
func forwardedHeader(in http.Header) http.Header {
	out := make(http.Header, len(in))
	for name, values := range in {
		if isHopByHop(name) || keys.IsCredentialHeader(name) || name == HeaderRequestID {
			continue
		}
		if keys.Leaks(strings.Join(values, " ")) {
			continue
		}
		out[name] = values
	}
	return out
}

func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host":
		return true
	}
	return false
}
