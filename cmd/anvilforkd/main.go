// Command anvilforkd runs one VM of the query tier until SIGTERM or SIGINT. Its
// settings come from a TOML file (-settings), or from the production platform
// (-platform; see package platform).
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/anvilfork/anvilfork/daemon"
	"github.com/anvilfork/anvilfork/gateway"
)

// gcPercent lets the heap grow to five times the live heap between two
// collections. The live heap is a few MB, so the default of 100 collects every few
// milliseconds under load, which costs about a tenth of the CPU time.
const gcPercent = 400

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2 // wrong flag or setting
)

func main() {
	path := flag.String("settings", "", "TOML file with the settings of this VM")
	onPlatform := flag.Bool("platform", false, "run on the production platform; the path of the settings file comes from the environment")
	level := flag.String("log-level", "info", "minimum level of log messages, with -platform")
	flag.Parse()
	if (*path == "") != *onPlatform || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(exitUsage)
	}
	runVM := func() error { return run(*path) }
	if *onPlatform {
		runVM = func() error { return runOnPlatform(*level) }
	}
	if err := runVM(); err != nil {
		fmt.Fprintln(os.Stderr, "anvilforkd:", err)
		var setting *gateway.SettingError
		if errors.As(err, &setting) {
			os.Exit(exitUsage)
		}
		os.Exit(exitFailure)
	}
}

// run runs a VM with the settings file at path until a signal stops it.
func run(path string) error {
	setGCPercent(gcPercent)
	settings, err := daemon.ReadSettings(path)
	if err != nil {
		return err
	}
	log, err := newLogger(os.Stderr, settings.LogLevel)
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	vm, err := daemon.Start(settings, log)
	if err != nil {
		return err
	}
	<-stop
	vm.Stop()
	return nil
}

// setGCPercent sets by how many percent the heap grows between two collections,
// unless the operator sets GOGC in the environment.
func setGCPercent(percent int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
}
