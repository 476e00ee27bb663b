package edge

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dunegrade/config"
)

// Serve runs an edge with the configuration file at path until SIGTERM or SIGINT, and reloads the worker list on SIGHUP. It
// returns the exit status: 0 after a clean drain, 1 if something was cut or failed, 2 if the configuration is invalid.
func Serve(path string) int {
	cfg, err := config.ReadEdge(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	log, err := NewLogger(cfg.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer log.Sync()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p := New(cfg, log)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	go func() { // ends with ctx
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangup:
				p.Refresh()
			}
		}
	}()
	if err := p.Run(ctx, nil); err != nil {
		log.Error("edge failed", zap.Error(err))
		return 1
	}
	return 0
}

// NewLogger returns a logger that writes JSON lines of at least the given level to standard error.
func NewLogger(level string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(minLevel)
	c.Sampling = nil
	c.DisableCaller, c.DisableStacktrace = true, true
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return c.Build()
}
