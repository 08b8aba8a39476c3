package daemon

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/metrics"
)

const (
	dumpTimeout       = 2 * time.Second // limit of the wait for the tasks of this VM
	maxAdminBodyBytes = 4 << 10         // the only body is that of /v1/loglevel
	metricsMIMEType   = "text/plain; version=0.0.4; charset=utf-8"
)

// LogLevel is the body of a request to /v1/loglevel and of its answer.
type LogLevel struct {
	Level string `json:"level"`
}

// adminServer is the HTTP interface for operators.
type adminServer struct {
	inboxes        *taskInboxes
	statusRequests chan<- statusMsg
	metrics        *metrics.Registry
	key            string // empty: only requests from loopback addresses are allowed
}

func (a *adminServer) handler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Use(a.authorize, limitBody)
	e.GET("/v1/dump", a.dump)
	e.GET("/v1/status", a.status)
	e.GET("/v1/fleet", a.fleetDump)
	e.GET("/metrics", a.writeMetrics)
	e.PUT("/v1/loglevel", a.setLogLevel)
	return e
}

// authorize refuses requests without the admin key. If no key is configured, it
// refuses requests from other hosts.
func (a *adminServer) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if a.isAuthorized(c.Request()) {
			return next(c)
		}
		c.Response().Header().Set(echo.HeaderConnection, "close") // unauthorized clients must not occupy connections
		return refuse(c, outcome.New(outcome.CodeUnauthorized, outcome.NotRun, "the admin interface needs its key"))
	}
}

func (a *adminServer) isAuthorized(r *http.Request) bool {
	if a.key == "" {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		return err == nil && net.ParseIP(host).IsLoopback()
	}
	sent, ok := strings.CutPrefix(r.Header.Get(echo.HeaderAuthorization), bearerPrefix)
	return ok && subtle.ConstantTimeCompare([]byte(sent), []byte(a.key)) == 1
}

// limitBody makes reads of a request body beyond maxAdminBodyBytes fail.
func limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxAdminBodyBytes)
		return next(c)
	}
}

func (a *adminServer) dump(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), dumpTimeout)
	defer cancel()
	return c.JSON(http.StatusOK, a.inboxes.dump(ctx))
}

func (a *adminServer) status(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), dumpTimeout)
	defer cancel()
	d := <-a.inboxes.askControl(ctx)
	if d == nil {
		return refuse(c, controlUnresponsive())
	}
	return c.JSON(http.StatusOK, d)
}

func (a *adminServer) fleetDump(c echo.Context) error {
	d := collectFleet(c.Request().Context(), a.inboxes, a.statusRequests)
	if d == nil {
		return refuse(c, controlUnresponsive())
	}
	return c.JSON(http.StatusOK, d)
}

// controlUnresponsive is the refusal of a request that needs the control task.
func controlUnresponsive() *outcome.Refusal {
	return outcome.New(outcome.CodeOverloaded, outcome.NotRun, "the control task does not answer")
}

func (a *adminServer) writeMetrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, metricsMIMEType)
	c.Response().WriteHeader(http.StatusOK)
	return a.metrics.Write(c.Response())
}

func (a *adminServer) setLogLevel(c echo.Context) error {
	var body LogLevel
	if err := c.Bind(&body); err != nil {
		return refuse(c, refuseBody(err))
	}
	if reason := logLevelViolation(body.Level); reason != "" {
		return refuse(c, outcome.New(outcome.CodeBadRequest, outcome.NotRun, "log level %q %s", body.Level, reason))
	}
	level, err := zerolog.ParseLevel(body.Level)
	if err != nil {
		return refuse(c, outcome.New(outcome.CodeBadRequest, outcome.NotRun, "log level %q: %v", body.Level, err))
	}
	zerolog.SetGlobalLevel(level)
	return c.JSON(http.StatusOK, LogLevel{Level: level.String()})
}
