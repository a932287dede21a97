package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/croftturn/croftturn/internal/caller"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/linger"
)

// pollInterval is how often Shutdown looks whether calls are still running.
const pollInterval = 10 * time.Millisecond

type (
	// Handler answers calls of one method. Its result is encoded as JSON; it may be nil for
	// notifications.
	Handler func(ctx context.Context, params json.RawMessage) (any, error)

	// SentNotifier is implemented by results that hold a resource until they are sent.
	SentNotifier interface {
		// Sent is called after the result was written or could not be written.
		Sent()
	}

	// Server answers the calls of peers.
	Server struct {
		handlers map[string]Handler
		awaited  map[string]bool // awaited holds the methods whose calls, and answers on their way, Shutdown waits for.
		running  atomic.Int64    // running is how many such calls have not been answered.
		traffic  *Traffic
		log      *slog.Logger
		listener net.Listener
		http     *connQueue // http gets the connections that speak HTTP; nil if they are not expected.
		ctx      context.Context
		cancel   context.CancelFunc
		wg       sync.WaitGroup
		served   chan struct{} // served is closed when nothing more is accepted.

		mu       sync.Mutex
		closed   bool // closed is set once Close waits.
		conns    map[*jsonrpc2.Conn]bool
		answered map[*caller.Conn]bool // answered holds the connections on which answers of awaited methods may be on their way.
	}
)

// NewServer returns a server on a listener. Add methods with Handle before Serve.
func NewServer(listener net.Listener, traffic *Traffic, log *slog.Logger) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		handlers: map[string]Handler{},
		awaited:  map[string]bool{},
		traffic:  traffic,
		log:      log,
		listener: listener,
		ctx:      ctx,
		cancel:   cancel,
		conns:    map[*jsonrpc2.Conn]bool{},
		answered: map[*caller.Conn]bool{},
		served:   make(chan struct{}),
	}
}

// Handle adds a method.
func (s *Server) Handle(method string, h Handler) { s.handlers[method] = h }

// HandleAwaited adds a method whose calls Shutdown waits for.
func (s *Server) HandleAwaited(method string, h Handler) {
	s.handlers[method], s.awaited[method] = h, true
}

// Typed returns a handler that decodes the parameters into a P.
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
	defer close(s.served)
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				s.log.Error("accepting peer connections failed", "error", err.Error())
			}
			return
		}
		if !s.startConn(conn) {
			conn.Close()
			return
		}
	}
}

// startConn serves a connection, unless the server is closed: Close must not wait while connections are added.
func (s *Server) startConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Add(1)
	go s.serveConn(conn)
	return true
}

// serveConn answers one peer until its connection ends.
func (s *Server) serveConn(conn net.Conn) {
	defer s.wg.Done()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	if s.http != nil {
		stop := context.AfterFunc(s.ctx, func() { conn.Close() })
		isHTTP, err := sniff(conn)
		if !stop() || err != nil {
			conn.Close()
			return
		}
		if isHTTP {
			s.http.put(conn)
			return
		}
	}
	socket := caller.ConnOf(caller.WithConn(ctx, conn))
	rpc := jsonrpc2.NewConn(ctx, stream(&countingConn{Conn: conn, traffic: s.traffic, opened: clock.Now()}), jsonrpc2.AsyncHandler(requestHandler{s, socket}),
		jsonrpc2.SetLogger(noLogger{}))
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
	delete(s.answered, socket)
	s.mu.Unlock()
}

// requestHandler handles the requests of a connection.
type requestHandler struct {
	server *Server
	socket *caller.Conn
}

// Handle answers a request and notifies the result once it was sent.
func (h requestHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if h.server.awaited[req.Method] {
		h.server.running.Add(1)
		defer h.server.endAwaited(h.socket)
	}
	var result any
	jsonrpc2.HandlerWithError(func(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		var err error
		result, err = h.server.dispatch(ctx, conn, req)
		return result, err
	}).Handle(ctx, conn, req)
	if r, ok := result.(SentNotifier); ok {
		r.Sent()
	}
}

// dispatch runs the handler of a request.
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

// StopAccepting closes the listener once all connections that it holds are taken. Those that are open stay.
func (s *Server) StopAccepting(ctx context.Context) error {
	if err := linger.CloseListener(ctx, s.listener, s.served); err != nil {
		return fmt.Errorf("stop accepting peers: %w", err)
	}
	return nil
}

// endAwaited records that a call of an awaited method was answered. Of a connection that is closed nothing is kept.
func (s *Server) endAwaited(socket *caller.Conn) {
	s.mu.Lock()
	if socket.Unread() > 0 {
		s.answered[socket] = true
	}
	s.mu.Unlock()
	s.running.Add(-1)
}

// awaiting reports whether calls of awaited methods run, or peers' kernels may not have all of their answers: once the
// connection is closed, a peer's next message would meet a reset, which destroys what is on its way.
func (s *Server) awaiting() bool {
	if s.running.Load() > 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for socket := range s.answered {
		if socket.Unread() <= 0 {
			delete(s.answered, socket)
		}
	}
	return len(s.answered) > 0
}

// Shutdown stops accepting, and waits until the calls of awaited methods are answered and the answers have arrived. Calls that
// come over open connections are still answered, until Close.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.StopAccepting(ctx); err != nil {
		return err
	}
	for tick := time.Tick(pollInterval); s.awaiting(); {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for calls: %w", ctx.Err())
		case <-tick:
		}
	}
	return nil
}

// Close stops accepting, closes all connections and waits for their goroutines.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	err := s.listener.Close()
	if s.http != nil {
		// The queue has no error to return.
		_ = s.http.Close()
	}
	s.wg.Wait()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close peer listener: %w", err)
	}
	return nil
}

// noLogger drops the log lines of the jsonrpc2 library; errors are returned to the caller anyway.
type noLogger struct{}

func (noLogger) Printf(string, ...any) {}
