package cli

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"

	"github.com/anvilfork/anvilfork/core/config"
)

const (
	keyPrefix = "afk_" // lets secret scanners recognize keys
	keyBytes  = 32     // 256 bits of randomness
)

const keyHelp = `Prints the key and the line with its hash for the workspace in the configuration
document. The key is not stored and cannot be shown again.`

func runKeyNew(e *env, args []string) ExitCode {
	f := e.newFlags("key new", "", keyHelp)
	asJSON := f.Bool("json", false, "print JSON")
	if code, ok := e.parse(f, args, 0); !ok {
		return code
	}
	key := newKey()
	hash := config.HashKey(key).String()
	if *asJSON {
		return e.printJSON(struct {
			Key  string `json:"key"`
			Hash string `json:"hash"`
		}{key, hash}, ExitOK)
	}
	fmt.Fprintf(e.stdout, "%s\nkeys = [%q]\n", key, hash)
	return ExitOK
}

// newKey returns a random workspace key.
func newKey() string {
	var random [keyBytes]byte
	rand.Read(random[:]) // never returns an error: the process ends instead
	return keyPrefix + base64.RawURLEncoding.EncodeToString(random[:])
}
