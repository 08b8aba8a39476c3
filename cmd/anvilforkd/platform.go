package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/gateway"
	"github.com/anvilfork/anvilfork/platform"
)

// platformGCPercent keeps the heap small: on the platform memory costs more than
// the CPU time of collections.
const platformGCPercent = 60

// memoryLimitPercent is the part of the memory of the process above which the
// garbage collector works harder. The rest is headroom for stacks and kernel
// buffers.
const memoryLimitPercent = 60

// runOnPlatform runs a VM with the settings of the platform until SIGTERM or
// SIGINT; SIGHUP reloads the settings.
func runOnPlatform(level string) error {
	settings, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	setGCPercent(platformGCPercent)
	if settings.Gateway.MemoryBytes > 0 {
		debug.SetMemoryLimit(settings.Gateway.MemoryBytes * memoryLimitPercent / 100)
	}
	out := gateway.NewLogOutput(os.Stdout)
	defer out.Close()
	log, err := newWriterLogger(out, level)
	if err != nil {
		return err
	}
	// A signal that finds its channel full is dropped: reloads may not keep a stop out.
	stop, hup := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hup, syscall.SIGHUP)
	g, err := gateway.Start(settings.Gateway, platform.New(settings.StoreAddress), log)
	if err != nil {
		log.Error().Err(err).Str("event", "start_failed").Msg("VM could not start")
		return err
	}
	for {
		select {
		case <-hup:
			reload(g, log)
		case <-stop:
			g.Stop()
			return nil
		}
	}
}

// reload reads the settings again and applies them. If they cannot be used, the
// previous settings stay in force.
func reload(g *gateway.Gateway, log zerolog.Logger) {
	settings, err := platform.ReadSettings()
	if err == nil {
		err = g.Reload(settings.Gateway)
	}
	if err != nil {
		log.Error().Err(err).Str("event", "reload_failed").Msg("settings could not be reloaded; the previous settings stay in force")
	}
}
