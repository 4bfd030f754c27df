// Command dotterellink-standin runs one stand-in of an outside system, for
// tests and the local fleet: the platform, a model engine or a plain service.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"
	"github.com/tailscale/hujson"

	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/settings"
	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/standin/fleet"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
	"github.com/dotterellink/dotterellink/internal/standin/servicestandin"
	"github.com/dotterellink/dotterellink/internal/trace"
)

type common struct {
	Listen string `long:"listen" description:"address to listen on" value-name:"IP:PORT" required:"true"`
	Seed   uint64 `long:"seed" description:"seed of random faults" default:"1"`
}

type platformCommand struct {
	common
	Instances string `long:"instances" description:"JSON file with the list of instances" value-name:"FILE"`
}

type layoutCommand struct {
	Dir     string `long:"dir" description:"folder to write the fleet's files into" required:"true"`
	Network int    `long:"network" description:"second byte of the loopback addresses" default:"20"`
	// Deployment and Rate size the fleet.
	Deployment string  `long:"deployment" description:"sizes of the fleet" choice:"small" choice:"celula" choice:"ingrassa" default:"small"`
	Baseline   bool    `long:"baseline" description:"let instances decide by the baseline policies"`
	Instances  int     `long:"instances" description:"number of instances instead of the deployment's"`
	Engines    int     `long:"engines" description:"number of engines instead of the deployment's"`
	Models     int     `long:"models" description:"number of models instead of the deployment's"`
	Rate       float64 `long:"rate" description:"requests a second at the peak, for the rates of a deployment's accounts" default:"20"`
}

type engineCommand struct {
	common
	Name   string `long:"name" required:"true"`
	Config string `long:"config" description:"JSON file with the engine's configuration" value-name:"FILE"`
}

type serviceCommand struct {
	common
	Name string `long:"name" required:"true"`
}

func main() {
	parser := flags.NewParser(nil, flags.Default)
	add := func(name, description string, command any) {
		if _, err := parser.AddCommand(name, description, description, command); err != nil {
			panic(err)
		}
	}
	add("platform", "Run the platform stand-in.", &platformCommand{})
	add("engine", "Run a model engine stand-in.", &engineCommand{})
	add("layout", "Write the files of a local fleet and print its commands.", &layoutCommand{})
	add("service", "Run a plain service stand-in.", &serviceCommand{})
	if _, err := parser.Parse(); err != nil {
		os.Exit(1)
	}
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	store := platformstandin.NewStore(clockwork.NewRealClock(), c.Seed)
	if err := c.addInstances(store); err != nil {
		return err
	}
	return c.serve(platformstandin.NewHandler(store))
}

func (c *platformCommand) addInstances(store *platformstandin.Store) error {
	if c.Instances == "" {
		return nil
	}
	data, err := os.ReadFile(c.Instances)
	if err != nil {
		return err
	}
	var records []platform.InstanceRecord
	if err := json.Unmarshal(data, &records); err != nil {
		return err
	}
	for _, r := range records {
		store.PutInstance(r)
	}
	store.PublishInstances()
	return nil
}

// Execute implements flags.Commander. It prints one line a process: its name,
// its program and its arguments.
func (c *layoutCommand) Execute([]string) error {
	layout := fleet.New(c.Dir, c.params())
	if err := layout.Write(); err != nil {
		return err
	}
	for _, command := range layout.Commands() {
		fmt.Println(command.Name, command.Program, strings.Join(command.Args, " "))
	}
	return nil
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	cfg := enginestandin.DefaultConfig(c.Name)
	if c.Config != "" {
		data, err := os.ReadFile(c.Config)
		if err != nil {
			return err
		}
		if data, err = hujson.Standardize(data); err != nil {
			return err
		}
		if err := json.Unmarshal(data, &cfg); err != nil {
			return err
		}
		cfg.Name = c.Name
	}
	engine := enginestandin.New(cfg, clockwork.NewRealClock(), c.Seed)
	return c.serve(enginestandin.NewHandler(engine))
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	return c.serve(servicestandin.NewHandler(servicestandin.New(c.Name, clockwork.NewRealClock())))
}

func (c *layoutCommand) params() fleet.Params {
	p := c.sizes()
	if c.Baseline {
		p.Policies = settings.Policies{
			Routing:   settings.PolicyLeastOutstanding,
			Placement: settings.PolicyStatic,
			Queue:     settings.PolicyNone,
		}
	}
	return p
}

// sizes returns the deployment's fleet with the sizes asked for.
func (c *layoutCommand) sizes() fleet.Params {
	p := c.deployment()
	if c.Instances > 0 {
		p.Instances = c.Instances
	}
	if c.Engines > 0 {
		p.Engines = c.Engines
	}
	if c.Models > 0 {
		p.Models = fleet.Models(c.Models)
		p.Adapters = nil
	}
	return p
}

func (c *layoutCommand) deployment() fleet.Params {
	switch c.Deployment {
	case "celula":
		return fleet.ForDeployment(trace.Celula(), c.Network, c.Rate)
	case "ingrassa":
		return fleet.ForDeployment(trace.Ingrassa(), c.Network, c.Rate)
	}
	return fleet.Small(c.Network)
}

func (c *common) serve(handler http.Handler) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	fmt.Printf("listening on %s\n", listener.Addr())
	return http.Serve(listener, handler)
}
