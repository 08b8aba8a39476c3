package standin

import (
	"bytes"
	"maps"
	"net"
	"slices"
	"sync/atomic"
)

// LinkMode determines whether a Link forwards, drops or refuses traffic.
type LinkMode int32

// The modes of a Link.
const (
	LinkOpen        LinkMode = iota
	LinkCut                  // open connections are closed, new ones are closed at once
	LinkSilenceOpen          // open connections drop all data for good, new ones work
	LinkBlackhole            // all connections stay open and drop all data
)

// Link is a TCP relay between two processes that simulates network faults.
type Link struct {
	listener      net.Listener
	serverAddress string
	mode          atomic.Int32
	epoch         atomic.Int64 // connections of an older epoch drop all data
	rule          atomic.Pointer[linkRule]
	actor         *actor
	connections   map[*connection]bool
}

// linkRule applies a mode to the connections whose first bytes from the client
// match.
type linkRule struct {
	mode    LinkMode
	matches func(first []byte) bool
}

// connection is one relayed connection.
type connection struct {
	client, server net.Conn
	epoch          int64
	firstBytes     atomic.Pointer[[]byte] // nil until the client sends
	mode           atomic.Int32           // LinkMode set by a rule; LinkOpen if the mode of the link applies
}

// NewLink listens on a free loopback port and relays its connections to target, a
// host:port.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, serverAddress: target, actor: newActor(), connections: make(map[*connection]bool)}
	go l.accept()
	return l, nil
}

// Address returns the host:port of the relay.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetMode sets the mode of the whole link and removes the rule of SetModeFrom.
// Connections to which the rule was applied keep its mode.
func (l *Link) SetMode(m LinkMode) {
	l.rule.Store(nil)
	l.mode.Store(int32(m))
	if m == LinkSilenceOpen {
		l.epoch.Add(1)
	}
	if m == LinkCut {
		l.closeAll()
	}
}

// SetModeFrom sets the mode, LinkCut or LinkBlackhole, of the open and new connections
// whose first bytes from the client match.
func (l *Link) SetModeFrom(m LinkMode, matches func(first []byte) bool) {
	rule := &linkRule{mode: m, matches: matches}
	l.rule.Store(rule)
	var open []*connection
	l.actor.do(func() { open = slices.Collect(maps.Keys(l.connections)) })
	for _, c := range open {
		c.applyRule(rule)
	}
}

// applyRule sets the mode of the connection if it matches the rule. It does nothing
// before the client has sent its first bytes.
func (c *connection) applyRule(r *linkRule) {
	first := c.firstBytes.Load()
	if r == nil || first == nil || !r.matches(*first) {
		return
	}
	c.mode.Store(int32(r.mode))
	if r.mode == LinkCut {
		c.close()
	}
}

func (c *connection) close() {
	c.client.Close()
	c.server.Close()
}

// Close stops the relay and closes its connections.
func (l *Link) Close() {
	l.listener.Close()
	l.closeAll()
	l.actor.stop()
}

func (l *Link) closeAll() {
	l.actor.do(func() {
		for c := range l.connections {
			c.close()
		}
	})
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		if LinkMode(l.mode.Load()) == LinkCut {
			conn.Close()
			continue
		}
		go l.relay(conn)
	}
}

func (l *Link) relay(from net.Conn) {
	to, err := net.Dial("tcp", l.serverAddress)
	if err != nil {
		from.Close()
		return
	}
	c := &connection{client: from, server: to, epoch: l.epoch.Load()}
	l.actor.do(func() { l.connections[c] = true })
	done := make(chan struct{})
	go func() {
		l.copy(to, from, c)
		close(done)
	}()
	l.copy(from, to, c)
	<-done
	l.actor.do(func() { delete(l.connections, c) })
}

const linkBufferBytes = 32 << 10

// copy forwards data in one direction until either side closes. It keeps reading
// from a silent connection and drops the data, so that neither side sees an error
// or a full window.
func (l *Link) copy(to, from net.Conn, c *connection) {
	defer c.close()
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && from == c.client && c.firstBytes.Load() == nil {
			first := bytes.Clone(buffer[:n])
			c.firstBytes.Store(&first)
			c.applyRule(l.rule.Load())
		}
		if l.isCut(c) {
			return // accepted before the link was cut
		}
		if n > 0 && !l.isSilent(c) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) isCut(c *connection) bool {
	return LinkMode(l.mode.Load()) == LinkCut || LinkMode(c.mode.Load()) == LinkCut
}

func (l *Link) isSilent(c *connection) bool {
	return LinkMode(l.mode.Load()) == LinkBlackhole || LinkMode(c.mode.Load()) == LinkBlackhole || c.epoch < l.epoch.Load()
}
