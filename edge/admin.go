package edge

import (
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// serveAdmin starts the HTTP server for health checks, metrics and profiles. It returns nil if the configuration has no
// address for it.
func (p *Process) serveAdmin() (*http.Server, error) {
	if p.cfg.Admin == "" {
		return nil, nil
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{p})
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, r *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, r *http.Request) {
		if !p.listReceived.Load() {
			http.Error(w, "no list of workers yet", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	ln, err := net.Listen("tcp", p.cfg.Admin)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go s.Serve(ln) // ends on Close
	return s, nil
}
