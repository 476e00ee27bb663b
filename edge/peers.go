package edge

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
)

const maxPeerMessage = 256

// listenPeers opens the socket for other sentries' messages. hearPeers reads from it, once there are loops to hand them to.
func (p *Process) listenPeers() error {
	if !p.cfg.Module["allow.messages"].(bool) {
		return nil // addresses may stand in the settings all the same
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

// readPeerMessages reads other sentries' messages until the socket is closed. Danger: others send at any time, so it is started
// only when every loop stands: after a restart under load a message came before, and there was no loop to hand it to.
func (p *Process) readPeerMessages() {
	buf := make([]byte, 4+maxPeerMessage+1)
	for {
		n, from, err := p.peerConn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if p.cfg.PeerListen != "" { // bare: its sender's address says whose it is
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

// handlePeerMessage passes on what another sentry sent; what comes from elsewhere is dropped.
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

// sendToPeer sends a message to another sentry, or loses it.
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
