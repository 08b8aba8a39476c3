package gateway

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/serve"
	"github.com/anvilfork/anvilfork/metrics"
)

const (
	dumpTimeout     = time.Second // wait for the engine task
	metricsMIMEType = "text/plain; version=0.0.4; charset=utf-8"
)

// Dump is a VM's state that operators request.
type Dump struct {
	Fleet  *mesh.View  `json:"fleet"`
	Engine *serve.Dump `json:"engine"` // nil when the engine task did not answer in time
}

// adminHandler serves the metrics and the state dump to operators.
func adminHandler(v viewClient, dumpRequests chan<- chan<- serve.Dump, m *metrics.Registry, log zerolog.Logger) http.Handler {
	e := newRouter()
	e.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, metricsMIMEType)
		if err := m.Write(c.Response()); err != nil {
			log.Warn().Err(err).Str("event", "metrics_failed").Msg("metrics could not be written")
		}
		return nil
	})
	e.GET("/v1/dump", func(c echo.Context) error {
		state := Dump{Fleet: v.view(c.Request().Context())}
		reply := make(chan serve.Dump, 1)
		select {
		case dumpRequests <- reply:
			d := <-reply
			state.Engine = &d
		case <-time.After(dumpTimeout):
		}
		return c.JSON(http.StatusOK, state)
	})
	return e
}
