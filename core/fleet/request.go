package fleet

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"
)

// RequestID identifies one request of a caller: 48 bits of creation time in
// milliseconds since the Unix epoch, then 80 random bits.
type RequestID [16]byte

// InvalidRequestIDError reports a string that is not a request id.
type InvalidRequestIDError struct {
	Text string
}

// Error implements error.
func (e *InvalidRequestIDError) Error() string {
	return fmt.Sprintf("request id %q is not 32 hexadecimal digits", e.Text)
}

// NewRequestID returns the id made of a creation time and random bits.
func NewRequestID(created time.Time, random [10]byte) RequestID {
	var id RequestID
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(created.UnixMilli()))
	copy(id[:6], ms[2:])
	copy(id[6:], random[:])
	return id
}

// ParseRequestID parses the form that String returns; upper case is accepted too.
// The error is an *InvalidRequestIDError.
func ParseRequestID(text string) (RequestID, error) {
	var id RequestID
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(id) {
		return id, &InvalidRequestIDError{Text: text}
	}
	copy(id[:], raw)
	return id, nil
}

// String returns the id as 32 hexadecimal digits.
func (r RequestID) String() string { return hex.EncodeToString(r[:]) }

// Created returns the creation time.
func (r RequestID) Created() time.Time {
	var ms [8]byte
	copy(ms[2:], r[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:])))
}

// Range returns the index of the request-id range that the id belongs to, from 0
// to RangeCount-1.
func (r RequestID) Range() int { return int(r[15]) % RangeCount }
