package edge

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
)

const (
	// maxPeerMessage is the maximum size of a message between sentries, in bytes, without the header.
	maxPeerMessage = 256
	// peerHeaderBytes is the size of the header: the indexes of the sending and the receiving sentry, two bytes each.
	peerHeaderBytes = 4
)

// listenPeers opens the socket for messages from other sentries, if messages are allowed.
func (p *Process) listenPeers() error {
	if !p.cfg.ModuleSettings["allow.messages"].(bool) {
		return nil // even if the configuration contains addresses
	}
	for _, a := range p.cfg.Peers {
		u, err := net.ResolveUDPAddr("udp", a)
		if err != nil {
			return fmt.Errorf("peer %s: %w", a, err)
		}
		p.peerAddrs = append(p.peerAddrs, u)
	}
	own := p.peerAddrs[int(p.cfg.ModuleSettings["index"].(float64))]
	var err error
	if p.cfg.PeerListen != "" {
		if own, err = net.ResolveUDPAddr("udp", p.cfg.PeerListen); err != nil {
			return fmt.Errorf("peer %s: %w", p.cfg.PeerListen, err)
		}
	}
	if p.peerConn, err = net.ListenUDP("udp", own); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	return nil
}

// readPeerMessages reads messages from other sentries until the socket is closed. It must not start before every loop runs:
// other sentries send at any time, for example to one that restarts under load, and a message read earlier would find no loop
// to receive it.
func (p *Process) readPeerMessages() {
	buf := make([]byte, peerHeaderBytes+maxPeerMessage+1) // one byte more, to detect messages that are too long
	for {
		n, addr, err := p.peerConn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if p.cfg.PeerListen != "" { // messages have no header: the sender is known by its address
			if err == nil && n <= maxPeerMessage {
				p.handlePeerMessage(addr, append([]byte(nil), buf[:n]...))
			}
			continue
		}
		if err != nil || n < peerHeaderBytes || n > peerHeaderBytes+maxPeerMessage {
			continue
		}
		sender, receiver := int(binary.BigEndian.Uint16(buf)), int(binary.BigEndian.Uint16(buf[2:]))
		data := append([]byte(nil), buf[peerHeaderBytes:n]...)
		for _, l := range p.loops {
			if l.sentryIndex == receiver {
				l.post(func() { l.deliverPeerMessage(sender, data) })
			}
		}
	}
}

// handlePeerMessage passes a message without header to the first loop. Messages from unknown addresses are dropped.
func (p *Process) handlePeerMessage(addr netip.AddrPort, data []byte) {
	addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	for i, peer := range p.peerAddrs {
		if known := peer.AddrPort(); netip.AddrPortFrom(known.Addr().Unmap(), known.Port()) == addr {
			l := p.loops[0]
			l.post(func() { l.deliverPeerMessage(i, data) })
			return
		}
	}
}

// sendToPeer sends a message between the sentries with the given indexes. Delivery is not guaranteed.
func (p *Process) sendToPeer(sender, receiver int, data []byte) {
	if p.peerConn == nil || receiver < 0 || receiver >= len(p.peerAddrs) || len(data) > maxPeerMessage {
		return
	}
	if p.cfg.PeerListen != "" {
		p.peerConn.WriteToUDP(data, p.peerAddrs[receiver])
		return
	}
	msg := binary.BigEndian.AppendUint16(nil, uint16(sender))
	msg = binary.BigEndian.AppendUint16(msg, uint16(receiver))
	p.peerConn.WriteToUDP(append(msg, data...), p.peerAddrs[receiver])
}
