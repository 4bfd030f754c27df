package mesh

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics counts the bytes and outgoing calls of a node.
type metrics struct {
	bytes *prometheus.CounterVec
	calls *prometheus.CounterVec
}

func newMetrics() *metrics {
	return &metrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dotterellink_mesh_bytes_total",
			Help: "Bytes on the mesh's connections, TLS included, by direction.",
		}, []string{"direction"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dotterellink_mesh_calls_total",
			Help: "Calls to peers by method and result.",
		}, []string{"method", "result"}),
	}
}

// Collectors returns the metrics of the node, to be registered once.
func (n *Node) Collectors() []prometheus.Collector {
	return []prometheus.Collector{n.metrics.bytes, n.metrics.calls}
}

// countCall counts one outgoing call by method and result.
func (m *metrics) countCall(method string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.calls.WithLabelValues(method, result).Inc()
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	sent     prometheus.Counter
	received prometheus.Counter
}

func (m *metrics) wrapConn(conn net.Conn) net.Conn {
	return &countingConn{
		Conn:     conn,
		sent:     m.bytes.WithLabelValues("sent"),
		received: m.bytes.WithLabelValues("received"),
	}
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(float64(n))
	return n, err
}
