package entry

import "time"

// SetWriteTimeout shortens the time that a caller may take to read.
func (s *Server) SetWriteTimeout(d time.Duration) { s.writeTimeout = d }
