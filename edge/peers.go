package edge

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
)

// maxPeerMessage is the maximum size of a message between sentries, in bytes, without the header.
const maxPeerMessage = 256

// listenPeers opens the socket for other sentries' messages. readPeerMessages reads from it once the loops run.
func (p *Process) listenPeers() error {
	if !p.cfg.Module["allow.messages"].(bool) {
		return nil // the configuration may contain addresses even so
	}
	for _, a := range p.cfg.Peers {
		u, err := net.ResolveUDPAddr("udp", a)
		if err != nil {
			return fmt.Errorf("peer %s: %w", a, err)
		}
		p.peerAddrs = append(p.peerAddrs, u)
	}
	own := p.peerAddrs[int(p.cfg.Module["index"].(float64))]
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

// readPeerMessages reads other sentries' messages until the socket is closed. Others send at any time, so it must not start
// before every loop runs: a message that arrived earlier, as after a restart under load, would find no loop to receive it.
func (p *Process) readPeerMessages() {
	buf := make([]byte, 4+maxPeerMessage+1)
	for {
		n, from, err := p.peerConn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if p.cfg.PeerListen != "" { // messages have no header: the sender is known by its address
			if err == nil && n <= maxPeerMessage {
				p.handlePeerMessage(from, append([]byte(nil), buf[:n]...))
			}
			continue
		}
		if err != nil || n < 4 || n > 4+maxPeerMessage {
			continue
		}
		sender, to := int(binary.BigEndian.Uint16(buf)), int(binary.BigEndian.Uint16(buf[2:]))
		data := append([]byte(nil), buf[4:n]...)
		for _, l := range p.loops {
			if l.sentryIndex == to {
				l.post(func() { l.deliverPeerMessage(sender, data) })
			}
		}
	}
}

// handlePeerMessage passes a message without header to the loop. Messages from unknown addresses are dropped.
func (p *Process) handlePeerMessage(from netip.AddrPort, data []byte) {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	for i, a := range p.peerAddrs {
		if at := a.AddrPort(); netip.AddrPortFrom(at.Addr().Unmap(), at.Port()) == from {
			l := p.loops[0]
			l.post(func() { l.deliverPeerMessage(i, data) })
			return
		}
	}
}

// sendToPeer sends a message to another sentry. Delivery is not guaranteed.
func (p *Process) sendToPeer(from, to int, data []byte) {
	if p.peerConn == nil || to < 0 || to >= len(p.peerAddrs) || len(data) > maxPeerMessage {
		return
	}
	if p.cfg.PeerListen != "" {
		p.peerConn.WriteToUDP(data, p.peerAddrs[to])
		return
	}
	msg := binary.BigEndian.AppendUint16(nil, uint16(from))
	msg = binary.BigEndian.AppendUint16(msg, uint16(to))
	p.peerConn.WriteToUDP(append(msg, data...), p.peerAddrs[to])
}
