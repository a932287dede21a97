package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/croftturn/croftturn/internal/clock"
)

type (
	// Handler answers one method. Its result is encoded as JSON; a nil result
	// is fine for notifications.
	Handler func(ctx context.Context, params json.RawMessage) (any, error)

	// Sent is implemented by results that hold something until they are sent.
	Sent interface {
		// Sent is called once the result was written, or could not be.
		Sent()
	}

	// Server answers the calls of peers.
	Server struct {
		handlers map[string]Handler
		traffic  *Traffic
		log      *slog.Logger
		listener net.Listener
		ctx      context.Context
		cancel   context.CancelFunc
		wg       sync.WaitGroup

		mu    sync.Mutex
		conns map[*jsonrpc2.Conn]bool
	}
)

// NewServer returns a server on a listener; Handle adds methods before Serve.
func NewServer(listener net.Listener, traffic *Traffic, log *slog.Logger) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		handlers: map[string]Handler{},
		traffic:  traffic,
		log:      log,
		listener: listener,
		ctx:      ctx,
		cancel:   cancel,
		conns:    map[*jsonrpc2.Conn]bool{},
	}
}

// Handle adds a method.
func (s *Server) Handle(method string, h Handler) { s.handlers[method] = h }

// Typed makes a handler out of a function with a typed parameter.
func Typed[P any](f func(ctx context.Context, params *P) (any, error)) Handler {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		p := new(P)
		if err := json.Unmarshal(raw, p); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, p)
	}
}

// Serve accepts connections until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				s.log.Error("peer listener failed", "error", err.Error())
			}
			return
		}
		s.wg.Add(1)
		go s.serveConn(conn)
	}
}

// serveConn answers one peer until its connection ends.
func (s *Server) serveConn(conn net.Conn) {
	defer s.wg.Done()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	rpc := jsonrpc2.NewConn(ctx, stream(&countingConn{Conn: conn, traffic: s.traffic, opened: clock.Now()}), jsonrpc2.AsyncHandler(handler{s}),
		jsonrpc2.SetLogger(discard{}))
	s.mu.Lock()
	s.conns[rpc] = true
	s.mu.Unlock()
	select {
	case <-rpc.DisconnectNotify():
	case <-s.ctx.Done():
		rpc.Close()
	}
	s.mu.Lock()
	delete(s.conns, rpc)
	s.mu.Unlock()
}

// handler answers the requests of a connection.
type handler struct{ server *Server }

// Handle answers a request, and tells the result when it was sent.
func (h handler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var result any
	jsonrpc2.HandlerWithError(func(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		var err error
		result, err = h.server.dispatch(ctx, conn, req)
		return result, err
	}).Handle(ctx, conn, req)
	if r, ok := result.(Sent); ok {
		r.Sent()
	}
}

// dispatch finds the handler of a request and runs it.
func (s *Server) dispatch(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	s.traffic.Calls.Add(1)
	h := s.handlers[req.Method]
	if h == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: fmt.Sprintf("no method %q", req.Method)}
	}
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-conn.DisconnectNotify():
			cancel()
		case <-stop:
		}
	}()
	return h(ctx, *req.Params)
}

// Close stops accepting, drops all connections and waits for their goroutines.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.wg.Wait()
	if err != nil {
		return fmt.Errorf("close peer listener: %w", err)
	}
	return nil
}

// discard drops the library's own log lines; errors reach the caller anyway.
type discard struct{}

// Printf drops a line.
func (discard) Printf(string, ...any) {}
