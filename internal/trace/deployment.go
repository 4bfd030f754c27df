package trace

import (
	"fmt"

	"github.com/dotterellink/dotterellink/internal/environment"
)

// Deployment holds the sizes and habits of one user, in the words of the brief.
type Deployment struct {
	Name     string
	Accounts []AccountShare
	Models   int
	Adapters int
	Engines  int
	// ServiceTargets is the number of targets of the plain service.
	ServiceTargets int
	WeightStore    environment.WeightStore
	// Day gives the relative demand over the day in equal parts.
	Day []float64
	// BatchShare is the share of unhurried model requests by part of the day.
	BatchShare []float64
	// ServiceShare is the share of calls of the plain service.
	ServiceShare float64
	// BookingShare is the share of calls of the plain service that must run at
	// most once.
	BookingShare float64
	// BurstFactor is by how much a bench multiplies its demand while it is busy.
	BurstFactor float64
	BurstShare  float64
	// MedianPrompt and MedianGenerated are in tokens.
	MedianPrompt, MedianGenerated           float64
	BatchMedianPrompt, BatchMedianGenerated float64
	// Surge multiplies the demand of one account for a while.
	Surge Surge
}

// AccountShare is a client account's share of the demand.
type AccountShare struct {
	Name  string
	Share float64
}

// Surge is a stretch in which an account sends several times its demand.
type Surge struct {
	Account string
	Factor  float64
	// From and To are parts of the trace, 0 to 1.
	From, To float64
}

// Celula returns the deployment of Celula Noua Recondiționare: two day shifts,
// bursty benches and a warehouse desk.
func Celula() Deployment {
	return Deployment{
		Name: "celula",
		Accounts: []AccountShare{
			{"bench-north", 0.42}, {"bench-south", 0.30}, {"warehouse", 0.14}, {"quality", 0.09}, {"training", 0.05},
		},
		Models:               20,
		Adapters:             75,
		Engines:              12,
		ServiceTargets:       3,
		WeightStore:          environment.WeightStore{LoadsPerSecond: 1.4, LoadsAtOnce: 6, AdapterLoadsAtOnce: 50},
		Day:                  []float64{0.1, 0.7, 1, 0.9, 0.6, 1, 0.9, 0.2},
		BatchShare:           []float64{0.1, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.2},
		ServiceShare:         0.2,
		BookingShare:         0.5,
		BurstFactor:          10,
		BurstShare:           0.05,
		MedianPrompt:         500,
		MedianGenerated:      60,
		BatchMedianPrompt:    1500,
		BatchMedianGenerated: 200,
		Surge:                Surge{Account: "bench-north", Factor: 4, From: 0.55, To: 0.7},
	}
}

// Ingrassa returns the deployment of Ingrassa Paratoie Trinacria: days in the
// field and unhurried re-planning in the evenings.
func Ingrassa() Deployment {
	return Deployment{
		Name: "ingrassa",
		Accounts: []AccountShare{
			{"crew-catania", 0.40}, {"crew-siracusa", 0.28}, {"crew-ragusa", 0.16}, {"supervisors", 0.11}, {"consortium", 0.05},
		},
		Models:               17,
		Adapters:             55,
		Engines:              9,
		ServiceTargets:       3,
		WeightStore:          environment.WeightStore{LoadsPerSecond: 1, LoadsAtOnce: 3, AdapterLoadsAtOnce: 25},
		Day:                  []float64{0.3, 0.8, 1, 0.7, 0.9, 0.8, 0.6, 0.7},
		BatchShare:           []float64{0.05, 0.05, 0.05, 0.05, 0.05, 0.1, 0.7, 0.8},
		ServiceShare:         0.3,
		BookingShare:         0.6,
		BurstFactor:          6,
		BurstShare:           0.08,
		MedianPrompt:         700,
		MedianGenerated:      80,
		BatchMedianPrompt:    2500,
		BatchMedianGenerated: 400,
		Surge:                Surge{Account: "crew-catania", Factor: 3, From: 0.3, To: 0.45},
	}
}

// ModelName and AdapterName name the models and adapters of a deployment.
func (d *Deployment) ModelName(i int) string { return fmt.Sprintf("%s-model-%02d", d.Name, i) }

// AdapterName returns the name of adapter i.
func (d *Deployment) AdapterName(i int) string { return fmt.Sprintf("%s-adapter-%02d", d.Name, i) }

// AdapterModel returns the index of the model of adapter i.
func (d *Deployment) AdapterModel(i int) int { return i % d.Models }

// ServiceName is the plain service of the deployment.
const ServiceName = "desk"
