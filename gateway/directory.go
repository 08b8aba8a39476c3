package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/core/mesh"
)

// viewTimeout bounds the wait for the control task, which answers immediately
// unless the process is starved of CPU time.
const viewTimeout = 500 * time.Millisecond

// viewClient requests the current view of the fleet from the control task.
type viewClient struct{ requests chan<- chan<- *mesh.View }

// view returns nil when the control task does not answer in time.
func (v viewClient) view(ctx context.Context) *mesh.View {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	reply := make(chan *mesh.View, 1)
	select {
	case v.requests <- reply:
	case <-ctx.Done():
		return nil
	}
	select {
	case view := <-reply:
		return view
	case <-ctx.Done():
		return nil
	}
}

func newRouter() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

// directoryHandler serves the addresses of VMs to callers.
func directoryHandler(v viewClient, codec DirectoryCodec, ttl time.Duration, log zerolog.Logger) http.Handler {
	e := newRouter()
	e.GET(codec.Path(), func(c echo.Context) error {
		place := codec.Decode(c.Request())
		var addresses []string
		if view := v.view(c.Request().Context()); view != nil {
			addresses = view.Addresses(place.Zone, place.Region)
		}
		if len(addresses) == 0 {
			log.Warn().Str("event", "directory_empty").Str("zone", place.Zone).Msg("no VM serves as far as this one knows")
		}
		codec.Encode(c.Response(), addresses, ttl)
		return nil
	})
	return e
}

// readyHandler serves the platform's readiness checks. The VM is ready while its
// phase is mesh.Serving.
func readyHandler(v viewClient, codec ReadinessCodec) http.Handler {
	e := newRouter()
	e.GET(codec.Path(), func(c echo.Context) error {
		view := v.view(c.Request().Context())
		codec.Encode(c.Response(), view != nil && view.Self.Phase == mesh.Serving)
		return nil
	})
	return e
}
