// Package wire holds the messages between nodes. The types are generated from
// schema/messages.json; their names on the wire are short, because every node
// pays for each byte.
package wire
