package network

import (
	"net/netip"
	"slices"
)

// Kill closes the listeners at the addresses and resets every connection that was dialed to one of
// these addresses, as the end of the listening process does. Connections that the listening
// process has dialed itself stay open.
func (n *Network) Kill(addresses ...netip.AddrPort) {
	for _, address := range addresses {
		n.mu.Lock()
		l := n.listeners[address]
		n.mu.Unlock()
		if l != nil {
			_ = l.Close()
		}
		n.forEachConn(func(c *conn) bool { return c.local == address || c.remote == address }, (*conn).reset)
	}
}

// Exit closes the listeners at the addresses and every connection that they accepted, as the operating
// system does for a process that ends by itself. Unlike Kill, it does not discard bytes that were sent.
func (n *Network) Exit(addresses ...netip.AddrPort) {
	for _, address := range addresses {
		n.mu.Lock()
		l := n.listeners[address]
		n.mu.Unlock()
		if l != nil {
			_ = l.Close()
		}
		n.forEachConn(func(c *conn) bool { return c.local == address }, func(c *conn) { _ = c.Close() })
	}
}

// Blackhole drops all traffic of a host without resetting its connections, as the loss of a VM does.
func (n *Network) Blackhole(host netip.Addr) {
	n.mu.Lock()
	n.blackholed[host] = true
	n.mu.Unlock()
	n.StallConnections(host)
}

// Restore makes a blackholed host reachable again; connections from before stay stalled.
func (n *Network) Restore(host netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.blackholed, host)
}

// StallConnections permanently stalls every open connection of a host; new ones work.
func (n *Network) StallConnections(host netip.Addr) {
	n.forEachConn(func(c *conn) bool { return c.hasEndpoint(host) }, (*conn).stall)
}

// StallConnectionsAmong permanently stalls every open connection between two of the hosts; new ones work.
func (n *Network) StallConnectionsAmong(hosts []netip.Addr) {
	n.forEachConn(func(c *conn) bool {
		return slices.Contains(hosts, c.local.Addr()) && slices.Contains(hosts, c.remote.Addr())
	}, (*conn).stall)
}

// Reset resets every open connection of a host.
func (n *Network) Reset(host netip.Addr) {
	n.forEachConn(func(c *conn) bool { return c.hasEndpoint(host) }, (*conn).reset)
}

// Partition makes the regions unreachable from each other until Heal, and permanently stalls the
// open connections between them.
func (n *Network) Partition() {
	n.mu.Lock()
	n.partitioned = true
	n.mu.Unlock()
	n.forEachConn(func(c *conn) bool { return c.crossRegion }, (*conn).stall)
}

// Heal ends a partition.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = false
}
