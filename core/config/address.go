package config

import (
	"strconv"
	"strings"
)

const (
	ipv6Groups   = 8
	ipv6Size     = 16 // bytes
	mappedPrefix = 12 // bytes before the IPv4 address in a mapped IPv6 address
	maxOctet     = 255
	maxPort      = 65535
)

// addressKey is an IP address and port in canonical form, so that two spellings
// of one address compare equal.
type addressKey struct {
	ip   [ipv6Size]byte // IPv4 addresses are in the IPv4-mapped form
	port int
}

// parseAddress parses "IP:port" or "[IPv6]:port" and reports whether it is valid.
// Host names are rejected, because targets are addressed by IP address only. The
// core must not import net or its subpackages, so netip.ParseAddrPort is only
// the reference in the tests.
func parseAddress(s string) (addressKey, bool) {
	host, port, ok := cutLast(s, ':')
	if !ok {
		return addressKey{}, false
	}
	key := addressKey{}
	if key.port, ok = parseDecimal(port, maxPort); !ok || key.port == 0 {
		return addressKey{}, false
	}
	if inner, isBracketed := strings.CutPrefix(host, "["); isBracketed {
		inner, ok = strings.CutSuffix(inner, "]")
		return key, ok && parseIPv6(inner, key.ip[:])
	}
	key.ip[10], key.ip[11] = maxOctet, maxOctet
	return key, parseIPv4(host, key.ip[mappedPrefix:])
}

func cutLast(s string, sep byte) (before, after string, found bool) {
	i := strings.LastIndexByte(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// parseDecimal parses a number from 0 to maxValue without sign or leading zeros.
func parseDecimal(s string, maxValue int) (int, bool) {
	if s == "" || len(s) > 1 && s[0] == '0' {
		return 0, false
	}
	n := 0
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		if n = n*10 + int(s[i]-'0'); n > maxValue {
			return 0, false
		}
	}
	return n, true
}

func parseIPv4(s string, dst []byte) bool {
	parts := strings.Split(s, ".")
	if len(parts) != len(dst) {
		return false
	}
	for i, p := range parts {
		n, ok := parseDecimal(p, maxOctet)
		if !ok {
			return false
		}
		dst[i] = byte(n)
	}
	return true
}

// parseIPv6 parses an IPv6 address without a zone; a zone names an interface of
// one machine and means nothing to the other VMs.
func parseIPv6(s string, dst []byte) bool {
	left, right, compressed := strings.Cut(s, "::")
	head, ok := parseHexGroups(left, !compressed)
	if !ok {
		return false
	}
	tail, ok := parseHexGroups(right, true)
	if !ok || compressed && len(head)+len(tail) > ipv6Size-2 || !compressed && len(head) != ipv6Size {
		return false
	}
	copy(dst, head)
	copy(dst[ipv6Size-len(tail):], tail)
	return true
}

// parseHexGroups parses colon-separated groups of up to four hexadecimal digits
// into bytes. With allowIPv4 the last group may be a dotted IPv4 address, which
// is valid only at the end of the whole address.
func parseHexGroups(s string, allowIPv4 bool) ([]byte, bool) {
	if s == "" {
		return nil, true
	}
	parts := strings.Split(s, ":")
	if len(parts) > ipv6Groups {
		return nil, false
	}
	out := make([]byte, 0, ipv6Size)
	for i, p := range parts {
		if allowIPv4 && i == len(parts)-1 && strings.Contains(p, ".") {
			var ipv4 [4]byte
			ok := parseIPv4(p, ipv4[:])
			return append(out, ipv4[:]...), ok
		}
		n, err := strconv.ParseUint(p, 16, 16)
		if err != nil || len(p) > 4 {
			return nil, false
		}
		out = append(out, byte(n>>8), byte(n))
	}
	return out, true
}
