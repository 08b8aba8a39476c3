package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/anvilfork/anvilfork/rpc/peer"
)

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, l: l}, nil
}

type countingConn struct {
	net.Conn
	l *countingListener
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.l.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.l.out.Add(int64(n))
	return n, err
}

// fixedReplyControl answers every heartbeat with the same reply.
type fixedReplyControl struct {
	peer.Control
	reply *peer.HeartbeatReply
}

func (c *fixedReplyControl) Heartbeat(context.Context, *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	return c.reply, nil
}

// BenchmarkHeartbeatHTTP measures the overhead of HTTP for a heartbeat and its reply,
// which are empty messages here: bytes in both directions, and the time of client
// and server together.
func BenchmarkHeartbeatHTTP(b *testing.B) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	l := &countingListener{Listener: tcp}
	server := &http.Server{Handler: peer.NewControlServer(&fixedReplyControl{reply: &peer.HeartbeatReply{}})}
	go server.Serve(l)
	defer server.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := peer.NewControlProtobufClient("http://"+tcp.Addr().String(), &http.Client{Transport: transport})
	for b.Loop() {
		if _, err := client.Heartbeat(context.Background(), &peer.HeartbeatRequest{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(l.in.Load())/float64(b.N), "request-B")
	b.ReportMetric(float64(l.out.Load())/float64(b.N), "reply-B")
}
