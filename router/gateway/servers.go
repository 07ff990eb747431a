package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"cuminrock.example/router/intake"
)

// startServers serves on the listeners.
func (g *Gateway) startServers(l *listeners) {
	requests, cancel := context.WithCancel(context.Background())
	g.cancelRequests = cancel
	g.callerServer = &http.Server{
		Handler:           g.platform.NewHandler(g),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(g.log),
		ConnState:         g.onStateChange,
		BaseContext:       func(net.Listener) context.Context { return requests },
		ConnContext:       callerConnContext,
	}
	g.callerListener = l.caller
	g.readinessServer = g.newCheckerServer(g.readinessRoutes())
	g.metricsServer = g.newCheckerServer(g.metricsRoutes())
	g.wg.Go(func() { g.serve(g.metricsServer, g.intake.metrics.Listener(l.metrics)) })
	g.wg.Go(func() { g.serve(g.callerServer, g.intake.callers.Listener(g.callerBuffers.Listener(l.caller))) })
	g.wg.Go(func() { g.serve(g.readinessServer, g.intake.readiness.Listener(l.readiness)) })
}

// newCheckerServer returns a server for load balancers or operators, whose requests and
// answers are short.
func (g *Gateway) newCheckerServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: checkerTimeout,
		ReadTimeout:       checkerTimeout,
		WriteTimeout:      checkerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    checkerHeaderBytes,
		ErrorLog:          zap.NewStdLog(g.log),
		ConnState:         intake.ConnState,
	}
}

func (g *Gateway) serve(server *http.Server, lis net.Listener) {
	err := server.Serve(lis)
	if !errors.Is(err, http.ErrServerClosed) && !g.shuttingDown.Load() {
		g.log.Error("gateway: a server stopped unexpectedly.", zap.Stringer("address", lis.Addr()), zap.Error(err))
	}
}

func (g *Gateway) closeServers() {
	for _, s := range []*http.Server{g.callerServer, g.readinessServer, g.metricsServer} {
		_ = s.Close()
	}
	g.intake.close()
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
