package entry

import "time"

// SetWriteTimeout replaces the time limit for each write of a model call's
// response.
func (s *Server) SetWriteTimeout(d time.Duration) { s.writeTimeout = d }
