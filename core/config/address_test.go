package config_test

import (
	"net/netip"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/anvilfork/anvilfork/core/config"
)

// Guards against addresses that Parse accepts and netip rejects, or the other way
// round, because parseAddress is written without package netip.
func TestAddressesAgreeWithNetip(t *testing.T) {
	known := []string{"127.0.0.1:80", "[::1]:80", "[::]:1", "[1:2:3:4:5:6:7:8]:9", "[1::8]:65535", "[::ffff:192.0.2.9]:80", "[1:2:3:4:5:6:192.0.2.9]:80",
		"127.0.0.1", "127.0.0.01:80", "1.2.3:80", "1.2.3.4.5:80", "256.0.0.1:80", ":80", "[::1]", "::1:80", "[1:2:3:4:5:6:7::8]:80", "[1::2::3]:80",
		"[:::]:1", "[1:2]:3", "[::1%lo]:80", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3.4:+80", "1.2.3.4:080", "[1.2.3.4]:80", "[1:2:3:4:5:6:7:8:9]:1", "[::00001]:1", "[:1::]:1", "[1.2.3.4::]:1", "", "[", "[]:1"}
	for _, address := range known {
		checkAddress(t, address)
	}
	rapid.Check(t, func(t *rapid.T) {
		checkAddress(t, rapid.StringMatching(`(\[[0-9a-f:.]{1,20}\]|[0-9.]{5,15}):[0-9]{1,5}`).Draw(t, "address"))
	})
}

func checkAddress(t rapid.TB, address string) {
	want, err := netip.ParseAddrPort(address)
	// Unlike parseAddress, netip accepts port 0, leading zeros in ports, and zones.
	port := address[strings.LastIndexByte(address, ':')+1:]
	valid := err == nil && want.Port() > 0 && want.Addr().Zone() == "" && !strings.HasPrefix(port, "0")
	_, err = config.Parse([]byte(strings.Replace(baseDocument, "192.0.2.2:80", address, 1)))
	if valid != (err == nil) {
		t.Fatalf("%q: netip accepts it: %v, Parse: %v", address, valid, err)
	}
}
