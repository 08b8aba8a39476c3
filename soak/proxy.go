package main

import (
	"net"
	"sync/atomic"
	"time"
)

// fault is a disturbance that a proxy applies to all its connections.
type fault int32

const (
	noFault      fault = iota
	delayChunks        // each chunk is delayed by proxyDelay
	dropToServer       // nothing reaches the server
	resetConns         // connections are reset, new ones as soon as they are accepted
)

const (
	proxyDelay       = 80 * time.Millisecond
	proxyBufferBytes = 16 << 10
)

// proxy forwards TCP connections from a loopback address to a server and injects
// faults into them.
type proxy struct {
	listener      net.Listener
	serverAddress string
	fault         atomic.Int32
	silentUpTo    atomic.Int64  // connections up to this number drop all data in both directions
	resetSignal   chan struct{} // closed and replaced by resetAll
	operations    chan func()
	lastConn      int64 // number of the last connection accepted
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, serverAddress: to, resetSignal: make(chan struct{}), operations: make(chan func())}
	go p.runOperations()
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// runOperations executes the operations on the state of the proxy one at a time.
func (p *proxy) runOperations() {
	for fn := range p.operations {
		fn()
	}
}

// resetAll closes all open connections with a TCP reset.
func (p *proxy) resetAll() {
	p.operations <- func() {
		close(p.resetSignal)
		p.resetSignal = make(chan struct{})
	}
}

// silenceOpen makes the connections that are open now drop all further data
// without closing them.
func (p *proxy) silenceOpen() { p.operations <- func() { p.silentUpTo.Store(p.lastConn) } }

func (p *proxy) setFault(f fault) { p.fault.Store(int32(f)) }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		p.operations <- func() {
			p.lastConn++
			go p.forward(c, p.lastConn, p.resetSignal)
		}
	}
}

// close refuses new connections and resets those that are open.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}

func (p *proxy) forward(c net.Conn, id int64, resetSignal <-chan struct{}) {
	if fault(p.fault.Load()) == resetConns {
		resetConn(c)
		return
	}
	s, err := net.Dial("tcp4", p.serverAddress)
	if err != nil {
		resetConn(c)
		return
	}
	ended := make(chan struct{}, 2)
	go p.copy(s, c, id, true, ended)
	go p.copy(c, s, id, false, ended)
	select {
	case <-ended:
	case <-resetSignal:
		resetConn(c)
	}
	_ = c.Close() // the connection is over; errors do not matter
	_ = s.Close()
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // makes Close send a reset
	}
	_ = c.Close()
}

func (p *proxy) copy(to, from net.Conn, id int64, toServer bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	b := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		f := fault(p.fault.Load())
		if f == delayChunks {
			time.Sleep(proxyDelay)
		}
		if id <= p.silentUpTo.Load() || f == dropToServer && toServer {
			continue // drops the data, like a middlebox that lost its connection state
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
