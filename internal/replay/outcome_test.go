package replay_test

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/replay"
	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/standin/servicestandin"
	"github.com/dotterellink/dotterellink/internal/trace"
)

var start = time.Unix(1000, 0)

func newRun(samples ...*replay.Sample) *replay.Run {
	return &replay.Run{
		Options: replay.Options{
			Trace: &trace.Trace{Header: trace.Header{Deployment: "test", DurationMS: 10_000}},
			Speed: 1,
		},
		Document: environment.Document{
			Accounts: []environment.Account{{Name: "a", RateTokensPerSecond: 10, BurstTokens: 100}},
			Targets:  []environment.Target{{Name: "e", Kind: environment.TargetEngine}},
		},
		Started: start,
		Samples: samples,
	}
}

func chatSample(atMS int64, used int64, edit func(*replay.Sample)) *replay.Sample {
	at := start.Add(time.Duration(atMS) * time.Millisecond)
	s := &replay.Sample{
		Record:     &trace.Record{AtMS: atMS, Account: "a", Kind: trace.KindChat, Class: "interactive", DeadlineMS: 1000},
		Scheduled:  at,
		Sent:       at,
		Result:     replay.ResultOK,
		FirstToken: 100 * time.Millisecond,
		Total:      200 * time.Millisecond,
		Reserved:   used,
		Used:       used,
		Intervals:  20,
	}
	if edit != nil {
		edit(s)
	}
	return s
}

func booking(id string, result replay.Result) *replay.Sample {
	return &replay.Sample{
		Record:    &trace.Record{Account: "a", Kind: trace.KindService},
		Scheduled: start, Sent: start, Result: result, ID: id,
	}
}

var _ = Describe("Judge", func() {
	It("counts an answer as attained only within every bound", func() {
		o := replay.Judge(newRun(
			chatSample(0, 1, nil),
			chatSample(1, 1, func(s *replay.Sample) { s.FirstToken = 351 * time.Millisecond }),
			chatSample(2, 1, func(s *replay.Sample) { s.SlowIntervals = 2 }),
			chatSample(3, 1, func(s *replay.Sample) { s.SlowIntervals = 1 }),
			chatSample(4, 1, func(s *replay.Sample) { s.Result = replay.ResultBroken }),
			chatSample(5, 1, func(s *replay.Sample) { s.Record.Class = "batch"; s.FirstToken = time.Minute }),
			chatSample(6, 1, func(s *replay.Sample) { s.Record.Class = "batch"; s.Total = 2 * time.Second }),
		))
		Expect(o.Attainment).To(BeNumerically("~", 3.0/7, 1e-9))
		Expect(o.AttainedPerAccelerator).To(BeNumerically("~", 0.3, 1e-9))
	})

	It("finds tokens beyond rate and burst in any window", func() {
		within := replay.Judge(newRun(chatSample(0, 100, nil), chatSample(1000, 10, nil), chatSample(2000, 10, nil)))
		Expect(within.TokensBeyond).To(BeZero())
		beyond := replay.Judge(newRun(chatSample(0, 100, nil), chatSample(1000, 10, nil), chatSample(1000, 7, nil)))
		Expect(beyond.TokensBeyond).To(BeEquivalentTo(7))
		late := replay.Judge(newRun(chatSample(0, 10, nil), chatSample(9000, 90, nil), chatSample(9000, 15, nil)))
		Expect(late.TokensBeyond).To(BeEquivalentTo(5))
	})

	It("calls a refusal wrongful only inside the rate", func() {
		refused := func(s *replay.Sample) { s.Result, s.Used, s.Total = replay.ResultRateLimited, 0, 0 }
		o := replay.Judge(newRun(chatSample(0, 60, nil), chatSample(1, 60, refused), chatSample(2, 30, refused)))
		Expect(o.Accounts[0].InRate).To(Equal(2))
		Expect(o.Accounts[0].WronglyRefused).To(Equal(1))
		Expect(o.WrongfulRefusals).To(BeNumerically("~", 0.5, 1e-9))
	})

	It("finds doubled, lost and falsely refused calls by the services' counts", func() {
		run := newRun(
			booking("once", replay.ResultOK),
			booking("twice", replay.ResultUnknown),
			booking("never", replay.ResultOK),
			booking("ran", replay.ResultRefused),
			booking("cut", replay.ResultCut),
		)
		run.After.Services = []servicestandin.Witness{
			{RunsByBody: map[string]int{"once": 1, "twice": 1, "ran": 1, "cut": 1}},
			{RunsByBody: map[string]int{"twice": 1}},
		}
		o := replay.Judge(run)
		Expect([]int{o.Doubled, o.Lost, o.FalseNotRun, o.Cut}).To(Equal([]int{1, 1, 1, 1}))
		Expect(replay.NewReport(run, replay.DefaultBounds()).IsMet()).To(BeFalse())
	})

	It("judges the time while a zone is out and 60 s after", func() {
		late := func(s *replay.Sample) { s.FirstToken = time.Second }
		run := newRun(chatSample(0, 1, late), chatSample(2000, 1, nil), chatSample(4000, 1, late), chatSample(70_000, 1, late))
		run.Options.Events = []replay.Event{
			{AtMS: 1000, Action: replay.ActionZoneOut, Name: "z"},
			{AtMS: 3000, Action: replay.ActionZoneReturn, Name: "z"},
		}
		Expect(replay.Judge(run).ZoneAttainment).To(BeNumerically("~", 0.5, 1e-9))
		run.Options.Events = nil
		Expect(replay.Judge(run).ZoneAttainment).To(BeEquivalentTo(-1))
	})

	It("misses an outcome when engines were overcommitted", func() {
		run := newRun(chatSample(0, 1, nil))
		Expect(replay.NewReport(run, replay.Bounds{MinAttainment: -1, MaxWrongfulRefusals: -1, MinWorstOverMean: -1}).IsMet()).To(BeTrue())
		run.After.Engines = []enginestandin.Witness{{Overcommits: 1}}
		Expect(replay.NewReport(run, replay.Bounds{MinAttainment: -1, MaxWrongfulRefusals: -1, MinWorstOverMean: -1}).IsMet()).To(BeFalse())
	})
})

var _ = Describe("Report", func() {
	It("is written as text, JSON and a page without outside references", func() {
		report := replay.NewReport(newRun(chatSample(0, 1, nil)), replay.DefaultBounds())
		var text, data, page bytes.Buffer
		Expect(report.WriteText(&text)).To(Succeed())
		Expect(report.WriteJSON(&data)).To(Succeed())
		Expect(report.WriteHTML(&page)).To(Succeed())
		Expect(text.String()).To(ContainSubstring("attainment"))
		Expect(data.String()).To(ContainSubstring(`"attainment": 1`))
		Expect(page.String()).To(ContainSubstring("<polyline"))
		Expect(page.String()).NotTo(MatchRegexp(`(src|href)=`))
	})
})

var _ = Describe("ApplySurges", func() {
	It("repeats the requests of the surging account in its window", func() {
		records := []trace.Record{{AtMS: 0, Account: "a"}, {AtMS: 10, Account: "a"}, {AtMS: 10, Account: "b"}, {AtMS: 30, Account: "a"}}
		events := []replay.Event{{AtMS: 5, Action: replay.ActionSurge, Name: "a", Factor: 3, DurationMS: 20}}
		Expect(replay.ApplySurges(records, events)).To(HaveLen(6))
	})
})
