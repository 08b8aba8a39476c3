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
	dumpTimeout     = 2 * time.Second
	maxAdminBody    = 4 << 10 // the only body is that of /v1/loglevel
	metricsMIMEType = "text/plain; version=0.0.4; charset=utf-8"
)

// LogLevel is the body of /v1/loglevel.
type LogLevel struct {
	Level string `json:"level"`
}

// admin serves operators.
type admin struct {
	tasks   *taskInboxes
	fleet   chan<- statusMsg
	metrics *metrics.Registry
	key     string
}

func (a *admin) handler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Use(a.authorize, boundBody)
	e.GET("/v1/dump", a.dump)
	e.GET("/v1/status", a.status)
	e.GET("/v1/fleet", a.wholeFleet)
	e.GET("/metrics", a.series)
	e.PUT("/v1/loglevel", a.logLevel)
	return e
}

// authorize lets a request through that carries the admin key; without a
// configured key only requests from this machine are allowed.
func (a *admin) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if a.allowed(c.Request()) {
			return next(c)
		}
		c.Response().Header().Set(echo.HeaderConnection, "close") // refused operators keep no connection
		return refuse(c, outcome.New(outcome.CodeUnauthorized, outcome.NotRun, "the admin interface needs its key"))
	}
}

func (a *admin) allowed(r *http.Request) bool {
	if a.key == "" {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		return err == nil && net.ParseIP(host).IsLoopback()
	}
	sent, ok := strings.CutPrefix(r.Header.Get(echo.HeaderAuthorization), bearerPrefix)
	return ok && subtle.ConstantTimeCompare([]byte(sent), []byte(a.key)) == 1
}

// boundBody makes the reading of a longer body fail.
func boundBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxAdminBody)
		return next(c)
	}
}

func (a *admin) dump(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), dumpTimeout)
	defer cancel()
	return c.JSON(http.StatusOK, a.tasks.dump(ctx))
}

func (a *admin) status(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), dumpTimeout)
	defer cancel()
	d := <-a.tasks.askControl(ctx)
	if d == nil {
		return refuse(c, controlSilent())
	}
	return c.JSON(http.StatusOK, d)
}

func (a *admin) wholeFleet(c echo.Context) error {
	d := readFleet(c.Request().Context(), a.tasks, a.fleet)
	if d == nil {
		return refuse(c, controlSilent())
	}
	return c.JSON(http.StatusOK, d)
}

func controlSilent() *outcome.Refusal {
	return outcome.New(outcome.CodeOverloaded, outcome.NotRun, "the control task does not answer")
}

func (a *admin) series(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, metricsMIMEType)
	c.Response().WriteHeader(http.StatusOK)
	return a.metrics.Write(c.Response())
}

func (a *admin) logLevel(c echo.Context) error {
	var body LogLevel
	if err := c.Bind(&body); err != nil {
		return refuse(c, outcome.New(outcome.CodeBadRequest, outcome.NotRun, "body: %v", err))
	}
	if reason := levelReason(body.Level); reason != "" {
		return refuse(c, outcome.New(outcome.CodeBadRequest, outcome.NotRun, "log level %q %s", body.Level, reason))
	}
	level, err := zerolog.ParseLevel(body.Level)
	if err != nil {
		return refuse(c, outcome.New(outcome.CodeBadRequest, outcome.NotRun, "log level %q: %v", body.Level, err))
	}
	zerolog.SetGlobalLevel(level)
	return c.JSON(http.StatusOK, LogLevel{Level: level.String()})
}
