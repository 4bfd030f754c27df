// Command dotterellinkd runs one instance of dotterellink.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"

	"github.com/dotterellink/dotterellink/internal/instance"
	"github.com/dotterellink/dotterellink/internal/pki"
	"github.com/dotterellink/dotterellink/internal/platform/httpplatform"
	"github.com/dotterellink/dotterellink/internal/settings"
	"github.com/dotterellink/dotterellink/internal/target/httptarget"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Settings string `long:"settings" description:"settings of the instance, JSON with comments" value-name:"FILE" required:"true"`
	Gateway  bool   `long:"gateway" description:"serve the announced targets of a platform; the settings are those of a gateway"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	if errors.Is(err, settings.ErrInvalid) {
		return exitUsage
	}
	return exitFailed
}

func run(o options) error {
	if o.Gateway {
		return runGateway(o)
	}
	s, err := settings.Load(o.Settings)
	if err != nil || o.Check {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger, err := telemetry.NewLogger(os.Stderr, s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	tracing, err := telemetry.NewTracing(ctx, s.Tracing.OTLPEndpoint, s.Tracing.SampleRatio, s.Name, s.Zone)
	if err != nil {
		return err
	}
	meshTLS, err := pki.LoadConfig(s.TLS.CAFile, s.TLS.CertificateFile, s.TLS.KeyFile)
	if err != nil {
		return err
	}
	platformClient := httpplatform.New(s.Platform.URL, s.Zone)
	targets := httptarget.New()
	i, err := instance.New(s, instance.Dependencies{
		Objects:   platformClient,
		Instances: platformClient,
		Engines:   targets,
		Services:  targets,
		MeshTLS:   meshTLS,
		Clock:     clockwork.NewRealClock(),
		Log:       logger,
		Tracing:   tracing,
	})
	if err != nil {
		return err
	}
	return i.Run(ctx)
}
