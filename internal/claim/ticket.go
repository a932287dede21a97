package claim

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// ticketPrefix is the prefix of idempotency keys that are tickets.
const ticketPrefix = "tkt1."

var (
	// ErrBadTicket reports a ticket that this process did not issue to this team.
	ErrBadTicket = errors.New("claim: not a ticket of this process")

	// ErrExpiredTicket reports an expired ticket; the outcome of its request is
	// no longer known.
	ErrExpiredTicket = errors.New("claim: the ticket has expired")
)

type (
	// Issuer issues tickets that only this process may run. It verifies them with
	// a secret that exists only in the process's memory.
	Issuer struct {
		node        string
		incarnation int
		lifetime    time.Duration
		secret      []byte
		started     time.Time
		next        atomic.Int64
	}

	// Ticket is the part of a ticket that is readable without the secret.
	Ticket struct {
		Node        string
		Incarnation int
	}
)

// NewIssuer returns an issuer for one incarnation of a node.
func NewIssuer(now time.Time, node string, incarnation int, lifetime time.Duration) *Issuer {
	secret := make([]byte, sha256.Size)
	if _, err := rand.Read(secret); err != nil {
		panic(fmt.Sprintf("claim: read random bytes: %v", err))
	}
	return &Issuer{node: node, incarnation: incarnation, lifetime: lifetime, secret: secret, started: now}
}

// Issue returns a new ticket for a team. Its lifetime is measured on the process's
// monotonic clock.
func (i *Issuer) Issue(now time.Time, team string) string {
	expires := now.Add(i.lifetime).Sub(i.started).Milliseconds()
	body := fmt.Sprintf("%s%s.%d.%d.%d", ticketPrefix, i.node, i.incarnation, i.next.Add(1), expires)
	return body + "." + i.sign(body, team)
}

// sign returns the signature of a ticket's body.
func (i *Issuer) sign(body, team string) string {
	mac := hmac.New(sha256.New, i.secret)
	mac.Write([]byte(body + "\x00" + team))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:16])
}

// Verify checks that a ticket was issued by this process to the team and has not
// expired.
func (i *Issuer) Verify(now time.Time, ticket, team string) error {
	cut := strings.LastIndexByte(ticket, '.')
	if cut < 0 || !hmac.Equal([]byte(ticket[cut+1:]), []byte(i.sign(ticket[:cut], team))) {
		return ErrBadTicket
	}
	fields := strings.Split(ticket[:cut], ".")
	expires, err := strconv.ParseInt(fields[len(fields)-1], 10, 64)
	if err != nil {
		return ErrBadTicket
	}
	if now.Sub(i.started).Milliseconds() > expires {
		return ErrExpiredTicket
	}
	return nil
}

// IsTicket reports whether an idempotency key has the prefix of a ticket.
func IsTicket(key string) bool { return strings.HasPrefix(key, ticketPrefix) }

// ParseTicket returns the process named in a ticket without verifying the ticket.
func ParseTicket(ticket string) (Ticket, error) {
	fields := strings.Split(strings.TrimPrefix(ticket, ticketPrefix), ".")
	const parts = 5
	if !IsTicket(ticket) || len(fields) != parts {
		return Ticket{}, ErrBadTicket
	}
	incarnation, err := strconv.Atoi(fields[1])
	if err != nil {
		return Ticket{}, ErrBadTicket
	}
	return Ticket{Node: fields[0], Incarnation: incarnation}, nil
}
