// Command harness2 runs the script cases of the second review: real processes of the project
// against small stand-ins of the platform, of runners and of clients, on loopback addresses.
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not
// run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(w *world, trouble bool) verdict{
	"crowd":     crowdCase,
	"moved":     movedCase,
	"restarted": restartedCase,
}

func main() {
	name := flag.String("case", "", "case to run")
	daemon := flag.String("daemon", "target/dotterellinkd", "program of the project")
	record := flag.String("record", "record.txt", "file for what was seen")
	keep := flag.Bool("keep", false, "keep the temporary folder")
	flag.Parse()
	os.Exit(run(*name, *daemon, *record, *keep, os.Getenv("TROUBLE") != "0"))
}

const (
	held      = 0
	wasBroken = 1
	couldNot  = 2
)

func run(name, daemon, record string, keep, trouble bool) (code int) {
	f := cases[name]
	if f == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return couldNot
	}
	var w *world
	defer func() {
		cause := recover()
		if w != nil {
			w.close(keep)
		}
		if cause != nil {
			fmt.Fprintf(os.Stderr, "could not run: %v\n", cause)
			code = couldNot
		}
	}()
	w = newWorld(daemon)
	v := f(w, trouble)
	if keep {
		fmt.Println(w.dir)
	}
	fmt.Println(v.text)
	if err := w.write(record, v.text); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	if v.broken {
		return wasBroken
	}
	return held
}
