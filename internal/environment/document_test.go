package environment_test

import (
	"encoding/json"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/standin/fleet"
)

func documentJSON(edit func(*environment.Document)) []byte {
	document := fleet.New("", fleet.Small(20)).Document
	if edit != nil {
		edit(&document)
	}
	data, err := json.Marshal(document)
	Expect(err).NotTo(HaveOccurred())
	return data
}

var _ = Describe("ParseDocument", func() {
	It("accepts a document with comments", func() {
		data := "// Seven instances.\n" + string(documentJSON(nil))
		_, err := environment.ParseDocument([]byte(data))
		Expect(err).NotTo(HaveOccurred())
	})

	DescribeTable("rejects an invalid document and names the value",
		func(edit func(*environment.Document), want string) {
			_, err := environment.ParseDocument(documentJSON(edit))
			Expect(err).To(MatchError(environment.ErrInvalidDocument))
			Expect(err.Error()).To(ContainSubstring(want))
		},
		Entry("no zone", func(d *environment.Document) { d.Zones = []environment.Zone{} }, "/zones"),
		Entry("negative rate", func(d *environment.Document) { d.Accounts[0].RateTokensPerSecond = -1 }, "/accounts/0/rate_tokens_per_second"),
		Entry("duplicate name", func(d *environment.Document) { d.Accounts[1].Name = d.Accounts[0].Name }, `accounts[1].name: "celula" stands twice`),
		Entry("adapter of an unknown model", func(d *environment.Document) { d.Adapters[0].Model = "other" }, `adapters[0].model: no model "other"`),
		Entry("adapter with the name of a model", func(d *environment.Document) { d.Adapters[0].Name = "reader" }, `adapters[0].name: "reader" stands twice`),
		Entry("target in an unknown zone", func(d *environment.Document) { d.Targets[0].Zone = "zone-q" }, `targets[0].zone: no zone "zone-q"`),
		Entry("host name as address", func(d *environment.Document) { d.Targets[0].Address = "engine:9000" }, "targets[0].address"),
		Entry("cold concurrency above concurrency", func(d *environment.Document) { d.Targets[0].ColdConcurrency = 99 }, "targets[0].cold_concurrency"),
		Entry("model larger than any engine", func(d *environment.Document) { d.Models[0].MemoryMB = 90_000 }, `models: "reader" fits no engine`),
		Entry("models that do not fit together", func(d *environment.Document) {
			for i := range d.Targets {
				if d.Targets[i].Kind == environment.TargetEngine {
					d.Targets[i].MemoryMB = 31_000
				}
			}
			d.Models = append(d.Models, d.Models[0], d.Models[0])
			d.Models[2].Name, d.Models[3].Name = "third", "fourth"
		}, "fits no engine beside the others"),
		Entry("target of an unknown service", func(d *environment.Document) { d.Services[0].Name = "bench" }, `no service "desk"`),
	)

	It("rejects unknown fields and names them", func() {
		data := strings.Replace(string(documentJSON(nil)), `"zones"`, `"zoness":1,"zones"`, 1)
		_, err := environment.ParseDocument([]byte(data))
		Expect(err).To(MatchError(environment.ErrInvalidDocument))
		Expect(err.Error()).To(ContainSubstring("zoness"))
	})
})

var _ = Describe("Diff", func() {
	It("lists changed, added and removed members", func() {
		before := fleet.New("", fleet.Small(20)).Document
		after := fleet.New("", fleet.Small(20)).Document
		after.Accounts[0].BurstTokens = 7
		after.Accounts = append(after.Accounts, environment.Account{Name: "new", RateTokensPerSecond: 1, BurstTokens: 1})
		after.Adapters = after.Adapters[:1]
		differences, err := environment.Diff(&before, &after)
		Expect(err).NotTo(HaveOccurred())
		Expect(differences).To(HaveLen(3))
		Expect(differences[0]).To(Equal(environment.Difference{Path: "accounts[celula].burst_tokens", Before: "200000", After: "7"}))
		Expect(differences[1].Path).To(Equal("accounts[new]"))
		Expect(differences[1].Before).To(BeEmpty())
		Expect(differences[2].Path).To(Equal("adapters[planner-gates]"))
		Expect(differences[2].After).To(BeEmpty())
	})

	It("finds nothing between equal documents", func() {
		a, b := fleet.New("", fleet.Small(20)).Document, fleet.New("", fleet.Small(20)).Document
		Expect(environment.Diff(&a, &b)).To(BeEmpty())
	})
})
