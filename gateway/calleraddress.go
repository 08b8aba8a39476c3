package gateway

import "net/netip"

// ipv6SitePrefix is the length of the prefix that identifies a caller with an IPv6
// address: one network, whose hosts may use any of its addresses.
const ipv6SitePrefix = 64

// callerAddress returns the address by which a caller is recognized, without the port,
// of the remote address of its connection. It is empty if that is no IP address.
func callerAddress(remote string) string {
	port, err := netip.ParseAddrPort(remote)
	if err != nil {
		return ""
	}
	addr := port.Addr().Unmap().WithZone("")
	if addr.Is6() {
		return netip.PrefixFrom(addr, ipv6SitePrefix).Masked().Addr().String()
	}
	return addr.String()
}
