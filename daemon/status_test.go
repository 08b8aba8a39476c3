package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/route"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// Guards against a target's answer without a status whose body is taken for the answer
// to the attempt, and against such a target that does not count as failing.
func TestFaultNoStatus(t *testing.T) {
	for _, status := range []string{"000", "+20", "101", "600"} {
		ours, targets := net.Pipe()
		a := route.StartAttempt{Sub: scatter.SubRequest{Deadline: time.Now().Add(time.Second)}}
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(targets)); err != nil {
				return
			}
			_, _ = io.WriteString(targets, "HTTP/1.1 "+status+" x\r\n\r\nHTTP/1.1 200 OK\r\nAnvilfork-Index-Version: 1\r\n"+ // the other side may close
				headerAttempt+": "+a.Attempt.String()+"\r\nContent-Length: 6\r\n\r\nforged")
		}()
		c := newHTTPConn(ours, "target")
		done, usable := c.run(t.Context(), a)
		c.close()
		targets.Close()
		assert.Equal(t, done.Result, route.ResultProtocolViolation, status)
		assert.Assert(t, !usable, status)
	}
}
