package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// sentry is one process of the product, started by the `run` of the deploy file.
type sentry struct {
	name    string
	listen  string
	config  string
	cmd     *exec.Cmd
	done    chan struct{}
	clients *clients
}

// freeAddress returns a free loopback address, with a port below those that outgoing connections take.
func freeAddress(network string) (string, error) {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+rand.Intn(12000))
		if network == "udp" {
			if c, err := net.ListenPacket("udp", address); err == nil {
				c.Close()
				return address, nil
			}
			continue
		}
		if ln, err := net.Listen("tcp", address); err == nil {
			ln.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// deployment is a small deployment of sentries on one platform.
type deployment struct {
	*env
	p        *platform
	settings map[string]any
	limits   map[string]any
	tune     func(i int, settings map[string]any) // if set, changes the settings of sentry i
	sentries []*sentry
}

// document returns the start document of sentry i.
func (d *deployment) document(i int, listen string, peers []string) map[string]any {
	settings := map[string]any{}
	for k, v := range d.settings {
		settings[k] = v
	}
	settings["index"] = i
	if d.tune != nil {
		d.tune(i, settings)
	}
	doc := map[string]any{"name": fmt.Sprintf("n%d", i+1), "listen": listen, "discovery": d.p.address(),
		"seed": fmt.Sprintf("%016x", rand.New(rand.NewSource(d.seed*100+int64(i))).Uint64()), "limits": d.limits,
		"platform": map[string]any{"address": d.p.address(), "news": d.p.current()}, "known": d.p.list(), "settings": settings}
	if peers != nil {
		doc["peer_listen"], doc["peers"] = peers[i], peers
	}
	return doc
}

// start starts n sentries and waits until all of them are ready.
func (d *deployment) start(n int) error {
	var peers []string
	if allowed, _ := d.settings["caps"].(map[string]any)["peers"].(bool); allowed {
		for range n {
			a, err := freeAddress("udp")
			if err != nil {
				return err
			}
			peers = append(peers, a)
		}
	}
	for i := range n {
		listen, err := freeAddress("tcp")
		if err != nil {
			return err
		}
		text, err := json.Marshal(d.document(i, listen, peers))
		if err != nil {
			return err
		}
		s := &sentry{name: fmt.Sprintf("n%d", i+1), listen: listen, config: filepath.Join(d.dir, fmt.Sprintf("n%d.json", i+1)),
			clients: &clients{address: listen}}
		if err := os.WriteFile(s.config, text, 0o600); err != nil {
			return err
		}
		d.sentries = append(d.sentries, s)
		if err := d.startProcess(s); err != nil {
			return err
		}
	}
	for _, s := range d.sentries {
		if err := d.awaitReady(s, 30*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// startProcess starts the process of a sentry.
func (d *deployment) startProcess(s *sentry) error {
	log, err := os.OpenFile(filepath.Join(d.dir, s.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	s.cmd = exec.Command("/bin/sh", "-c", d.run)
	s.cmd.Dir = d.root
	s.cmd.Env = append(os.Environ(), "ROUTER_NAME="+s.name, "ROUTER_LISTEN="+s.listen, "ROUTER_DISCOVERY="+d.p.address(), "ROUTER_CONFIG="+s.config)
	s.cmd.Stdout, s.cmd.Stderr = log, log
	s.done = make(chan struct{})
	if err := s.cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.started = append(d.started, s.cmd.Process)
	d.mu.Unlock()
	d.rec.line("sentry %s started", s.name)
	go func(cmd *exec.Cmd, done chan struct{}) { cmd.Wait(); close(done) }(s.cmd, s.done)
	return nil
}

// awaitReady waits until a sentry answers an empty query.
func (d *deployment) awaitReady(s *sentry, limit time.Duration) error {
	for until := time.Now().Add(limit); !s.clients.ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			return errors.New(s.name + " is not ready")
		}
		select {
		case <-s.done:
			return errors.New(s.name + " ended: " + d.log(s))
		default:
		}
	}
	d.rec.line("sentry %s ready", s.name)
	return nil
}

// log returns the log of a sentry.
func (d *deployment) log(s *sentry) string {
	text, _ := os.ReadFile(filepath.Join(d.dir, s.name+".log"))
	return string(text)
}

// running reports whether the process of a sentry runs.
func (s *sentry) running() bool {
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

// stop ends all sentries.
func (d *deployment) stop() {
	for _, s := range d.sentries {
		s.clients.close()
		if s.cmd != nil && s.cmd.Process != nil && s.running() {
			s.cmd.Process.Kill()
			<-s.done
		}
	}
}

// allRun returns an error if a sentry has ended by itself: what it would have done cannot be told.
func (d *deployment) allRun() error {
	for _, s := range d.sentries {
		if !s.running() {
			return errors.New(s.name + " ended by itself: " + d.log(s))
		}
	}
	return nil
}
