// Package logging makes the zap loggers of this project's programs, which write to standard error only.
package logging

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New makes a logger for lines of the given level and above; level is "debug", "info", "warn" or "error".
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
	// Lines with the same text are written 5 times a second, then every 1000th time: otherwise a line that a misbehaving
	// peer causes again and again would flood the log.
	// At debug level each line counts: a trace of single requests with gaps is of no use.
	cfg.Sampling = &zap.SamplingConfig{Initial: 5, Thereafter: 1000}
	if minLevel == zapcore.DebugLevel {
		cfg.Sampling = nil
	}
	log, err := cfg.Build()
	if err != nil {
		return nil, fmt.Errorf("logger: %w", err)
	}
	return log, nil
}
