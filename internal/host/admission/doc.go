// Package admission bounds what the connections to a host cost it: the open connections, and the
// memory of messages that are being received or handled.
//
// A Gate wraps a listener. It charges each connection for the bytes that it has received, at the
// memory that parsing and decoding them takes, and for the calls in progress on it. When a bound
// is reached, it closes the connections that have had longest to send a whole message. A
// connection whose message is complete is kept, since its request may have begun to run, unless
// its peer does not take the answer.
//
// What a connection has received and the process has not read is in the socket's buffer, which
// Listen limits, since it counts as memory of the process as well.
package admission
