package gossip

import (
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/croftturn/croftturn/internal/discovery"
	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/limit"
	"github.com/croftturn/croftturn/internal/overload"
	"github.com/croftturn/croftturn/internal/pinning"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/quarantine"
)

type (
	// NodeInfo identifies a node and says how to reach it.
	NodeInfo struct {
		Name          string
		Incarnation   int64
		PeerAddress   string // PeerAddress receives datagrams.
		CallerAddress string
		Hall          string
		Cores         float64 // Cores is the processor share that the node may use; 0 if it is not reported.
	}

	// State is what a node sends its peers besides its NodeInfo. Fields are encoded by number, so that
	// nodes of two successive releases understand each other during a rolling upgrade: unknown fields
	// are ignored, and missing ones are zero. A number must never be reused for another meaning, and
	// the zero value of a new field must mean that nothing was reported.
	State struct {
		Ready             bool                            `cbor:"1,keyasint,omitempty"`  // Ready reports whether the node takes callers.
		Stopping          bool                            `cbor:"2,keyasint,omitempty"`  // Stopping reports whether the node is shutting down.
		Rate              float32                         `cbor:"3,keyasint,omitempty"`  // Rate is the number of requests served per second.
		Loads             map[string]placement.Load       `cbor:"4,keyasint,omitempty"`  // Loads is the node's own load by engine.
		Uses              []placement.Use                 `cbor:"5,keyasint,omitempty"`  // Uses are the prompt parts sent to engines since the last message to the receiver.
		Versions          map[string]int64                `cbor:"6,keyasint,omitempty"`  // Versions are the versions of the node's tables.
		ConfigVersion     int                             `cbor:"7,keyasint,omitempty"`  // ConfigVersion is the version of the configuration in force.
		ProofAgeMs        int64                           `cbor:"8,keyasint,omitempty"`  // ProofAgeMs is the age of the proof that this version is the newest; -1 for none.
		CannotReadStore   bool                            `cbor:"9,keyasint,omitempty"`  // CannotReadStore reports whether the node leaves reading the platform's store to others for now.
		StoreSilentMs     int64                           `cbor:"10,keyasint,omitempty"` // StoreSilentMs is how long a node that reads the store has had no answer; -1 if it does not read.
		StoreFailureAgeMs int64                           `cbor:"11,keyasint,omitempty"` // StoreFailureAgeMs is the time since its last call to the store failed; -1 if none has.
		TierStats         map[string][]dispatch.TierStats `cbor:"12,keyasint,omitempty"` // TierStats holds the recent outcomes of requests of each tier, by pool.
		Holder            Holder                          `cbor:"13,keyasint,omitempty"` // Holder is the duty holder known to the sender.
		Crashing          []quarantine.GossipEntry        `cbor:"14,keyasint,omitempty"` // Crashing are requests under which engines crashed: recent entries, or all that are held.
		Nodes             NodeCount                       `cbor:"15,keyasint,omitzero"`  // Nodes is the number of nodes that a hub knows.
		ChosenHubs        []HubInfo                       `cbor:"16,keyasint,omitempty"` // ChosenHubs are the hubs that a hub chose for its hall, for receivers that may not know them.
		Limits            []limit.GossipEntry             `cbor:"17,keyasint,omitempty"` // Limits are the limits of engines, including limits that ended recently.
		Leaving           []discovery.GossipEntry         `cbor:"18,keyasint,omitempty"` // Leaving are engines that announced in an answer that they leave.
		Evicted           []placement.Use                 `cbor:"19,keyasint,omitempty"` // Evicted are prompt parts that recently left the caches of engines which the node watches, newest first.
		TeamWork          map[string][]overload.TeamWork  `cbor:"20,keyasint,omitempty"` // TeamWork is the recent work of the teams with most of it, by pool, while interactive pools refuse callers.
		Slowdowns         []placement.Slowdown            `cbor:"21,keyasint,omitempty"` // Slowdowns are those that engines reported to the node in the last 300 ms.
		LowerAdmitted     map[string]bool                 `cbor:"22,keyasint,omitempty"` // LowerAdmitted holds the interactive pools in which the node admitted a request below the highest tier within the last second.
		TakesLoadUpdates  bool                            `cbor:"23,keyasint,omitempty"` // TakesLoadUpdates reports whether the node accepts load updates between messages.
		Unreachable       []string                        `cbor:"24,keyasint,omitempty"` // Unreachable are the pools of whose engines the node reaches none.
		ForwardPort       uint16                          `cbor:"25,keyasint,omitempty"` // ForwardPort is where the node takes requests that others forward, at the host of its peer address; 0 if it takes none.
		Partitioned       bool                            `cbor:"27,keyasint,omitempty"` // Partitioned reports whether the node reaches no engine at all.
		Brittle           []string                        `cbor:"26,keyasint,omitempty"` // Brittle are the pools whose engines told the node that they are brittle.
		PinsStreams       bool                            `cbor:"28,keyasint,omitempty"` // PinsStreams reports whether the node keeps records of where streams began, and continues them there.
		PoolVersions      []pinning.PoolVersion           `cbor:"29,keyasint,omitempty"` // PoolVersions say at which software versions the streams of pools have begun.
		CrashingParts     quarantine.PartGossip           `cbor:"30,keyasint,omitzero"`  // CrashingParts are prompt parts under which engines crashed: recent changes, or all that are held or may be.
		Eras              map[string]int64                `cbor:"31,keyasint,omitempty"` // Eras are the eras of Versions, as in feed.Announcement.
		Kept              map[string]uint64               `cbor:"32,keyasint,omitempty"` // Kept are the digests of what the node's tables keep of earlier eras.
		PoolEras          map[string][2]int64             `cbor:"34,keyasint,omitempty"` // PoolEras are the eras of PoolVersions, as pinning.Eras returns them.
		ReturnAgeMs       int64                           `cbor:"33,keyasint,omitempty"` // ReturnAgeMs is how long ago the store is known to have come back from a copy, at least 1; 0 if not lately.
		CrashRuns         [][]int64                       `cbor:"35,keyasint,omitempty"` // CrashRuns are the runs of Crashing, as quarantine.SplitRuns returns them.
	}

	// HubInfo identifies a hub in the sender's hall and says how to reach it.
	HubInfo struct {
		_             struct{} `cbor:",toarray"`
		Name          string
		Incarnation   int64
		PeerAddress   string
		CallerAddress string
		Cores         float64
	}

	// NodeCount is the number of nodes that a hub knows, in its hall and in all halls.
	NodeCount struct {
		_         struct{} `cbor:",toarray"`
		Hall, All int
	}

	// Holder is the node that acts for all nodes towards the platform.
	Holder struct {
		_       struct{} `cbor:",toarray"`
		Token   int64    // Token is the fencing token of its term; 0 for none.
		Address string   // Address is the holder's address for peers.
		AgeMs   int64    // AgeMs is the time since the holder confirmed its term; -1 if it has given the term up.
	}

	// Peer is another node.
	Peer struct {
		NodeInfo
		State      State
		heardAt    time.Time
		addedAt    time.Time
		addr       *net.UDPAddr
		lastSeq    uint32   // lastSeq is the sequence number of the newest message from the peer.
		sentCount  int      // sentCount counts the messages sent to the peer.
		chosenHubs []string // chosenHubs are the hubs that the peer, as a hub, chose for its hall.
		nextRound  int      // nextRound is the round of the next message to the peer.
		ackedSeq   uint32   // ackedSeq is the sequence number that the peer last acknowledged.
		lastUpdate uint32   // lastUpdate is the number of the newest load update from the peer's present incarnation; 0 for none.

		choiceVersion int    // choiceVersion is the hub choice that is being sent to the peer.
		choiceSeq     uint32 // choiceSeq is the sequence number of the first message with that choice.
	}

	// message is one datagram.
	message struct {
		_             struct{} `cbor:",toarray"`
		Ack           uint32   // Ack is the sequence number of the newest message that the sender has from the receiver.
		Seq           uint32   // Seq is the sequence number of this message.
		Name          string
		Incarnation   int64
		PeerAddress   string // PeerAddress, CallerAddress, Hall and Cores are empty if the receiver knows them.
		CallerAddress string
		Hall          string
		Cores         float64
		Hubs          []string // Hubs are the hubs that the sender, as a hub, chose for its hall.
		State         cbor.RawMessage
	}
)
