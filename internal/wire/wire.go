// Package wire defines the messages between nodes. The types are generated from
// schema/messages.json; their encoded field names are short, because each byte
// costs every node traffic.
package wire
