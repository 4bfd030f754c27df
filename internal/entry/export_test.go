package entry

import "time"

// SetWriteTimeout replaces the time limit for each write to a caller.
func (s *Server) SetWriteTimeout(d time.Duration) { s.writeTimeout = d }
