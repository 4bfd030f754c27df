package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// link is a proxy before the mesh address of a machine. It knows which machine opened a
// connection from the hello in its first bytes. Bytes of a cut connection are held, as by a
// partition.
type link struct {
	w    *world
	addr string
	to   string

	mu sync.Mutex
	// cut reports whether the machines with these names can't reach the machine behind the link.
	cut func(from string) bool
}

func newLink(w *world, listen, to string) *link {
	l, err := net.Listen("tcp", listen)
	w.must(err)
	k := &link{w: w, addr: l.Addr().String(), to: to}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.join(c)
		}
	}()
	return k
}

func (k *link) setCut(cut func(from string) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
}

func (k *link) isCut(from string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut != nil && k.cut(from)
}

func (k *link) join(caller net.Conn) {
	defer caller.Close()
	hello := make([]byte, 4096)
	n, err := caller.Read(hello)
	if err != nil {
		return
	}
	from := k.senderOf(hello[:n])
	k.hold(from)
	server, err := net.DialTimeout("tcp", k.to, time.Second)
	if err != nil {
		return
	}
	defer server.Close()
	if _, err := server.Write(hello[:n]); err != nil {
		return
	}
	go func() {
		k.carry(caller, server, from)
		caller.Close()
		server.Close()
	}()
	k.carry(server, caller, from)
}

// senderOf returns the name of the machine that the first bytes of a connection name.
func (k *link) senderOf(hello []byte) string {
	for _, m := range k.w.machines {
		if bytes.Contains(hello, []byte(m.name)) {
			return m.name
		}
	}
	return ""
}

// hold waits while the link is cut for a machine.
func (k *link) hold(from string) {
	for k.isCut(from) {
		time.Sleep(20 * time.Millisecond)
	}
}

func (k *link) carry(to, from net.Conn, name string) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			k.hold(name)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
