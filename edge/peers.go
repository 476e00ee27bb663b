package edge

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
)

const longestTell = 256

// openPeers opens the socket for other sentries' messages. hearPeers reads from it, once there are loops to hand them to.
func (p *Process) openPeers() error {
	if !p.cfg.Module["allow.messages"].(bool) {
		return nil // addresses may stand in the settings all the same
	}
	for _, a := range p.cfg.Peers {
		u, err := net.ResolveUDPAddr("udp", a)
		if err != nil {
			return fmt.Errorf("peer %s: %w", a, err)
		}
		p.peers = append(p.peers, u)
	}
	own := p.peers[int(p.cfg.Module["index"].(float64))]
	var err error
	if p.cfg.PeerListen != "" {
		if own, err = net.ResolveUDPAddr("udp", p.cfg.PeerListen); err != nil {
			return fmt.Errorf("peer %s: %w", p.cfg.PeerListen, err)
		}
	}
	if p.tells, err = net.ListenUDP("udp", own); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	return nil
}

// hearPeers reads other sentries' messages until the socket is closed. Danger: others send at any time, so it is started
// only when every loop stands: after a restart under load a message came before, and there was no loop to hand it to.
func (p *Process) hearPeers() {
	buf := make([]byte, 4+longestTell+1)
	for {
		n, from, err := p.tells.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if p.cfg.PeerListen != "" { // bare: its sender's address says whose it is
			if err == nil && n <= longestTell {
				p.hearPeer(from, append([]byte(nil), buf[:n]...))
			}
			continue
		}
		if err != nil || n < 4 || n > 4+longestTell {
			continue
		}
		sender, to := int(binary.BigEndian.Uint16(buf)), int(binary.BigEndian.Uint16(buf[2:]))
		data := append([]byte(nil), buf[4:n]...)
		for _, l := range p.loops {
			if l.number == to {
				l.post(func() { l.tellTold(sender, data) })
			}
		}
	}
}

// hearPeer passes on what another sentry sent; what comes from elsewhere is dropped.
func (p *Process) hearPeer(from netip.AddrPort, data []byte) {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	for i, a := range p.peers {
		if at := a.AddrPort(); netip.AddrPortFrom(at.Addr().Unmap(), at.Port()) == from {
			l := p.loops[0]
			l.post(func() { l.tellTold(i, data) })
			return
		}
	}
}

// tell sends a message to another sentry, or loses it.
func (p *Process) tell(from, to int, data []byte) {
	if p.tells == nil || to < 0 || to >= len(p.peers) || len(data) > longestTell {
		return
	}
	if p.cfg.PeerListen != "" {
		p.tells.WriteToUDP(data, p.peers[to])
		return
	}
	msg := binary.BigEndian.AppendUint16(nil, uint16(from))
	msg = binary.BigEndian.AppendUint16(msg, uint16(to))
	p.tells.WriteToUDP(append(msg, data...), p.peers[to])
}
