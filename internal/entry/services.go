package entry

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dotterellink/dotterellink/internal/keys"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/target"
)

// HeaderIdempotencyKey carries an identifier that the caller chose for a request
// and sends again with each retry.
const HeaderIdempotencyKey = "Idempotency-Key"

const maxIdempotencyKeyBytes = 255

// invoke handles calls of plain services at /services/NAME and below.
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
	return writeReply(c, reply)
}

// writeReply forwards the service's response, whatever its status. It leaves out
// the headers of the connection and those that only the instance may set.
func writeReply(c echo.Context, reply *target.ServiceReply) error {
	response := c.Response()
	header := response.Header()
	for name, values := range reply.Header {
		if isHopByHop(name) || name == HeaderRequestID || name == HeaderOutcome {
			continue
		}
		header[name] = values
	}
	header.Set(echo.HeaderContentLength, strconv.Itoa(len(reply.Body)))
	if c.Request().Method == http.MethodHead || reply.Status == http.StatusNoContent || reply.Status == http.StatusNotModified {
		header.Del(echo.HeaderContentLength)
	}
	_ = http.NewResponseController(response.Writer).SetWriteDeadline(time.Now().Add(writeTimeout))
	response.WriteHeader(reply.Status)
	_, err := response.Write(reply.Body)
	return err
}

const servicePrefix = "/services/"

func (s *Server) readServiceCall(c echo.Context, account string) (*relay.ServiceCall, error) {
	request := c.Request()
	name, rest, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, servicePrefix), "/")
	path := "/" + rest
	service := s.views.View().Service(name)
	if service == nil {
		notFound := badField("path", "no service %q", keys.Redact(name))
		notFound.status, notFound.code = http.StatusNotFound, "service_not_found"
		return nil, notFound
	}
	idempotent := service.IsIdempotent(request.Method, path)
	idempotencyKey := request.Header.Get(HeaderIdempotencyKey)
	if err := checkIdempotencyKey(idempotencyKey, account, idempotent); err != nil {
		return nil, err
	}
	if err := rejectKeyInURL(request.URL); err != nil {
		return nil, err
	}
	_, deadline, err := s.readClassAndDeadline(c)
	if err != nil {
		return nil, err
	}
	body, err := s.readAuthenticatedBody(c)
	if err != nil {
		return nil, err
	}
	return &relay.ServiceCall{
		BeforeSend:     s.recheckKey(c),
		ID:             c.Get(requestIDKey).(string),
		Account:        account,
		Service:        service.Name,
		Method:         request.Method,
		Path:           path,
		RawQuery:       request.URL.RawQuery,
		Header:         forwardedHeader(request.Header),
		Body:           body,
		Idempotent:     idempotent,
		IdempotencyKey: idempotencyKey,
		Deadline:       deadline,
	}, nil
}

func checkIdempotencyKey(key, account string, idempotent bool) error {
	if key == "" {
		return nil
	}
	if len(key) > maxIdempotencyKeyBytes {
		return badField(HeaderIdempotencyKey, "must have at most %d bytes", maxIdempotencyKeyBytes)
	}
	if keys.HasKey(key) {
		return badField(HeaderIdempotencyKey, "must not hold a key")
	}
	if account == "" && !idempotent {
		// Callers without an account could get each other's responses by reusing a key.
		return badField(HeaderIdempotencyKey, "needs a request with an account's key")
	}
	return nil
}

func rejectKeyInURL(u *url.URL) error {
	if keys.HasKey(u.Path) {
		return badField("path", "must not hold a key")
	}
	plain, err := url.QueryUnescape(u.RawQuery)
	if err != nil {
		return badField("query", "is malformed")
	}
	if keys.HasKey(u.RawQuery) || keys.HasKey(plain) {
		return badField("query", "must not hold a key")
	}
	return nil
}

// forwardedHeader returns the headers to send to a plain service. It leaves out
// headers with credentials or a caller's key, headers of the connection and the
// request identifier.
func forwardedHeader(in http.Header) http.Header {
	out := make(http.Header, len(in))
	connectionOptions := strings.ToLower(strings.Join(in["Connection"], ","))
	for name, values := range in {
		if isConnectionOption(connectionOptions, name) || isHopByHop(name) || keys.IsCredentialHeader(name) || name == HeaderRequestID {
			continue
		}
		if keys.HasKey(strings.Join(values, " ")) {
			continue
		}
		out[name] = values
	}
	return out
}

// isConnectionOption reports whether options, the value of the Connection header
// in lower case, lists name.
func isConnectionOption(options, name string) bool {
	if options == "" {
		return false
	}
	for option := range strings.SplitSeq(options, ",") {
		if strings.TrimSpace(option) == strings.ToLower(name) {
			return true
		}
	}
	return false
}

func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Expect", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host":
		return true
	}
	return false
}
