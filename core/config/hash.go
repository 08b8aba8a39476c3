package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

const keyHashPrefix = "sha256:"

// Digest is the SHA-256 hash of a configuration document.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// KeyHash is the SHA-256 hash of a workspace key. Documents hold only hashes, so
// that reading one gives no access.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which documents list a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash as documents write it: "sha256:" and hexadecimal digits.
func (h KeyHash) String() string { return keyHashPrefix + hex.EncodeToString(h[:]) }

// InvalidKeyHashError reports a string that is not the hash of a key.
type InvalidKeyHashError struct{}

// Error implements error.
func (e *InvalidKeyHashError) Error() string {
	return fmt.Sprintf("must be %s and %d hexadecimal digits", keyHashPrefix, hex.EncodedLen(sha256.Size))
}

// UnmarshalText parses the form that String returns.
func (h *KeyHash) UnmarshalText(text []byte) error {
	raw, ok := strings.CutPrefix(string(text), keyHashPrefix)
	sum, err := hex.DecodeString(raw)
	if !ok || err != nil || len(sum) != len(h) {
		return &InvalidKeyHashError{}
	}
	copy(h[:], sum)
	return nil
}
