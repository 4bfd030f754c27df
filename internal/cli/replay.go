package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/replay"
	"github.com/dotterellink/dotterellink/internal/trace"
)

type replayCommand struct {
	*App
	Against          []string `long:"against" description:"address that serves callers; may be repeated" value-name:"IP:PORT" required:"yes"`
	Speed            float64  `long:"speed" description:"divides the times between arrivals" default:"1"`
	Seed             uint64   `long:"seed" description:"seed of the spread over addresses" default:"1"`
	Events           string   `long:"events" description:"JSON file of faults and operations" value-name:"FILE"`
	Platform         string   `long:"platform" description:"address of the platform stand-in, for events" value-name:"IP:PORT"`
	PIDs             string   `long:"pids" description:"the local fleet's file of processes, for events" value-name:"FILE"`
	HTML             string   `long:"html" description:"file for the HTML report" value-name:"FILE"`
	JSON             string   `long:"json" description:"file for the JSON report" value-name:"FILE"`
	MinAttainment    float64  `long:"min-attainment" description:"least attainment, 0 to 1; negative is not checked" default:"-1"`
	MaxWrongful      float64  `long:"max-wrongful" description:"most wrongful refusals, 0 to 1; negative is not checked" default:"0.001"`
	MinWorstOverMean float64  `long:"min-worst" description:"least attainment of the worst account over the mean; negative is not checked" default:"0.9"`
	Args             struct {
		Trace string `positional-arg-name:"TRACE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *replayCommand) Execute([]string) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	run, err := replay.Replay(c.ctx, options)
	if err != nil {
		return merry.Wrap(ErrFailed, merry.AppendMessage(err.Error()))
	}
	report := replay.NewReport(run, replay.Bounds{
		MinAttainment:       c.MinAttainment,
		MaxWrongfulRefusals: c.MaxWrongful,
		MinWorstOverMean:    c.MinWorstOverMean,
	})
	if err := c.write(report); err != nil {
		return err
	}
	if !report.IsMet() {
		return merry.Wrap(ErrMissed)
	}
	return nil
}

func (c *replayCommand) options() (replay.Options, error) {
	if c.Speed <= 0 {
		return replay.Options{}, merry.Wrap(ErrUsage, merry.AppendMessage("--speed must be positive"))
	}
	client, err := c.client()
	if err != nil {
		return replay.Options{}, err
	}
	o := replay.Options{
		Addresses: c.Against,
		Operators: client.addresses,
		Token:     client.token,
		Speed:     c.Speed,
		Seed:      c.Seed,
		Platform:  c.Platform,
		Progress:  c.errOut,
	}
	if o.Trace, err = readTrace(c.Args.Trace); err != nil {
		return o, err
	}
	if c.Events != "" {
		if o.Events, err = replay.ReadEvents(c.Events); err != nil {
			return o, merry.Wrap(ErrUsage, merry.AppendMessage(err.Error()))
		}
	}
	if c.PIDs != "" {
		if o.PIDs, err = replay.ReadPIDs(c.PIDs); err != nil {
			return o, merry.Wrap(ErrUsage, merry.AppendMessage(err.Error()))
		}
	}
	return o, nil
}

func readTrace(path string) (*trace.Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, merry.Wrap(ErrUsage, merry.AppendMessage(err.Error()))
	}
	defer file.Close()
	t, err := trace.Read(file)
	if err != nil {
		return nil, merry.Wrap(ErrInvalid, merry.AppendMessagef("%s: %v", path, err))
	}
	return t, nil
}

func (c *replayCommand) write(report *replay.Report) error {
	if err := writeFile(c.HTML, report.WriteHTML); err != nil {
		return err
	}
	if err := writeFile(c.JSON, report.WriteJSON); err != nil {
		return err
	}
	if c.global.Output == "json" {
		return report.WriteJSON(c.out)
	}
	return report.WriteText(c.out)
}

func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return merry.Wrap(ErrUsage, merry.AppendMessage(err.Error()))
	}
	defer file.Close()
	return write(file)
}

type traceCommand struct {
	*App
	Deployment string        `long:"deployment" description:"whose habits the trace follows" choice:"celula" choice:"ingrassa" required:"yes"`
	Duration   time.Duration `long:"duration" description:"length of the trace" default:"2m"`
	Rate       float64       `long:"rate" description:"requests a second at the peak" default:"20"`
	Seed       uint64        `long:"seed" description:"seed of the generator" default:"1"`
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	if c.Duration <= 0 || c.Rate <= 0 {
		return merry.Wrap(ErrUsage, merry.AppendMessage("--duration and --rate must be positive"))
	}
	deployment := trace.Celula()
	if c.Deployment == "ingrassa" {
		deployment = trace.Ingrassa()
	}
	t := trace.Generate(deployment, trace.GenerateOptions{Seed: c.Seed, DurationMS: c.Duration.Milliseconds(), RequestsPerSecond: c.Rate})
	fmt.Fprintf(c.errOut, "%d requests, generated, not recorded\n", len(t.Records))
	return trace.Write(c.out, t)
}
