package dial

// MaxHeadBytes limits the head of a response. A server in trouble may send bytes without end that are none; the
// transport's own limit is 10 MB for each connection.
const MaxHeadBytes = 64 << 10
