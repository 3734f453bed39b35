// Package logging makes the loggers of this project's programs: zap, on standard error only.
package logging

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New makes a logger for lines of a level and above ("debug", "info", "warn", "error").
func New(level string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(minLevel)
	cfg.Encoding = "console"
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.DisableCaller, cfg.DisableStacktrace = true, true
	cfg.OutputPaths, cfg.ErrorOutputPaths = []string{"stderr"}, []string{"stderr"}
	// Danger: a line repeated by a peer's misbehaviour floods the log; the same text shows 5 times a
	// second, then every 1000th time.
	cfg.Sampling = &zap.SamplingConfig{Initial: 5, Thereafter: 1000}
	log, err := cfg.Build()
	if err != nil {
		return nil, fmt.Errorf("logger: %w", err)
	}
	return log, nil
}
