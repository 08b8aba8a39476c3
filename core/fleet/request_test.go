package fleet

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against request ids that change when they are formatted and parsed.
func FuzzParseRequestID(f *testing.F) {
	f.Add("")
	f.Add("0123456789abcdef0123456789abcdef")
	f.Add("0123456789ABCDEF0123456789ABCDEF")
	f.Add("0123456789abcdef0123456789abcdeg")
	f.Add("ffffffffffffffffffffffffffffffffff")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseRequestID(text)
		if err != nil {
			var invalid *InvalidRequestIDError
			assert.Assert(t, errors.As(err, &invalid))
			assert.Equal(t, id, RequestID{})
			return
		}
		again, err := ParseRequestID(id.String())
		assert.NilError(t, err)
		assert.Equal(t, again, id)
		assert.Assert(t, id.Range() >= 0 && id.Range() < RangeCount)
		var random [10]byte
		copy(random[:], id[6:])
		assert.Equal(t, NewRequestID(id.Created(), random), id)
	})
}

// Guards against an id that loses its creation time.
func TestRequestIDCreated(t *testing.T) {
	created := time.Date(2026, 12, 4, 8, 0, 0, 123e6, time.UTC)
	id := NewRequestID(created, [10]byte{9: 65})
	assert.Assert(t, id.Created().Equal(created))
	assert.Equal(t, id.Range(), 1)
}
