package gateway

import (
	"errors"
	"net"
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"cuminrock.example/router/callerconn"
)

// startServers serves on the listeners.
func (g *Gateway) startServers(l *listeners) {
	g.callerServer = &http.Server{
		Handler:           g.platform.NewHandler(g),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(g.log),
		ConnState:         g.callers.onStateChange,
		ConnContext:       callerconn.ConnContext,
	}
	g.readinessServer = &http.Server{Handler: g.readinessRoutes(), ReadHeaderTimeout: headerTimeout}
	g.metricsServer = &http.Server{Handler: g.metricsRoutes(), ReadHeaderTimeout: headerTimeout}
	g.wg.Go(func() { g.serve(g.metricsServer, l.metrics) })
	g.wg.Go(func() { g.serve(g.callerServer, g.callerBuffers.Listener(l.caller)) })
	g.wg.Go(func() { g.serve(g.readinessServer, l.readiness) })
}

func (g *Gateway) serve(server *http.Server, lis net.Listener) {
	err := server.Serve(lis)
	if !errors.Is(err, http.ErrServerClosed) {
		g.log.Error("gateway: a server stopped unexpectedly.", zap.Stringer("address", lis.Addr()), zap.Error(err))
	}
}

func (g *Gateway) closeServers() {
	for _, s := range []*http.Server{g.callerServer, g.readinessServer, g.metricsServer} {
		_ = s.Close()
	}
}

func (g *Gateway) readinessRoutes() http.Handler {
	routes := httprouter.New()
	routes.GET(g.platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return routes
}

func (g *Gateway) metricsRoutes() http.Handler {
	routes := httprouter.New()
	routes.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{}))
	return routes
}
