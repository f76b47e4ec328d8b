package router

import "strings"

// hostName returns a host without its port in the form in which hosts are compared: case and a final dot have no
// meaning, and the brackets of an IPv6 address belong to the form with a port.
func hostName(host string) string {
	if rest, bracketed := strings.CutPrefix(host, "["); bracketed {
		address, _, _ := strings.Cut(rest, "]")
		return strings.ToLower(address)
	}
	if strings.Count(host, ":") == 1 {
		host, _, _ = strings.Cut(host, ":")
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
