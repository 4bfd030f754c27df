package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/duty"
	"github.com/dotterellink/dotterellink/internal/gateway"
	objects "github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/telemetry"
	"github.com/dotterellink/dotterellink/platform"
)

// runGateway runs an instance that serves the announced targets of a platform.
func runGateway(o options) error {
	// Not stopped before the process ends: a hangup would end it while calls are running.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	s, err := gateway.LoadSettings(o.Settings)
	if err != nil || o.Check {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	registry := prometheus.NewRegistry()
	logger, lines, err := telemetry.NewBoundedLog(os.Stdout, s.Log.Level, s.Log.LinesPerSecond, registry)
	if err != nil {
		return err
	}
	defer lines.Close()
	go reloadOnSignal(ctx, hangups, o.Settings, logger)
	eras := objects.NewEras()
	var duties duty.API
	if s.Duties.Address != "" {
		duties = platform.NewDuties(s.Duties.Address, registry)
	}
	g, err := gateway.New(s, gateway.Dependencies{
		Objects: platform.NewStore(s.Store, eras, registry), Eras: eras, Source: platform.Source(), Dialect: platform.Dialect{},
		Operator: platform.NewOperator(), Duties: duties, ReadyPath: platform.ReadyPath, Tracing: telemetry.NoTracing(),
	}, logger, registry)
	if err != nil {
		return err
	}
	return g.Run(ctx)
}

// reloadOnSignal reads the settings again at SIGHUP and takes over the level of
// the log. A file that cannot be used changes nothing.
func reloadOnSignal(ctx context.Context, hangups <-chan os.Signal, path string, logger *log.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		s, err := gateway.LoadSettings(path)
		if err != nil {
			logger.WithError(err).Warn("daemon: Settings not reloaded, keeping the last.")
			continue
		}
		logger.WithFields(log.Fields{"zone": s.Zone, "level": s.Log.Level}).Info("daemon: Settings read again.")
	}
}
