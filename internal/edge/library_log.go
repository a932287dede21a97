package edge

import "log/slog"

// libraryLog passes what libraries write to the standard logger on to the node's log.
type libraryLog struct{ log *slog.Logger }

// Write logs the beginning of a line, since the rest may hold bytes of a response.
func (l libraryLog) Write(p []byte) (int, error) {
	l.log.Debug("library", "text", string(p[:min(len(p), maxLibraryLogBytes)]))
	return len(p), nil
}
