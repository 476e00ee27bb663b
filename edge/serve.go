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

// Serve runs an edge by its settings file until SIGTERM or SIGINT, and reads its list anew at SIGHUP. It gives the
// exit status: 0 after a clean drain, 1 where something was cut or broke, 2 for settings that are refused.
func Serve(path string) int {
	plan, err := config.ReadEdge(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	log, err := NewLogger(plan.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer log.Sync()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p := New(plan, log)
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	defer signal.Stop(again)
	go func() { // ended by ctx
		for {
			select {
			case <-ctx.Done():
				return
			case <-again:
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

// NewLogger makes a logger of JSON lines on standard error, from a level on.
func NewLogger(level string) (*zap.Logger, error) {
	at, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(at)
	c.Sampling = nil
	c.DisableCaller, c.DisableStacktrace = true, true
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return c.Build()
}
