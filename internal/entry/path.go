package entry

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
)

// checkPath is middleware that rejects paths that a target could interpret
// differently than the rules for open routes and idempotent calls do: paths with
// "." or ".." segments, empty segments, backslashes, NUL bytes or encoded slashes.
func checkPath(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if isCanonicalPath(c.Request().URL.Path, c.Request().URL.EscapedPath()) {
			return next(c)
		}
		return invalidRequest(http.StatusBadRequest, "invalid_path", "path: must not hold dot segments, empty segments or encoded separators")
	}
}

func isCanonicalPath(path, escaped string) bool {
	if strings.Contains(path, "//") || strings.ContainsAny(path, "\\\x00") {
		return false
	}
	if strings.Contains(path, "/.") && hasDotSegment(path) {
		return false
	}
	return !strings.Contains(strings.ToLower(escaped), "%2f")
}

func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
