package gossip

import (
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/croftturn/croftturn/internal/discovery"
	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/limit"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/quarantine"
)

type (
	// Self is what a node says of itself.
	Self struct {
		Name          string
		Incarnation   int64
		PeerAddress   string // PeerAddress takes datagrams.
		CallerAddress string
		Hall          string
		Cores         float64 // Cores is the processor that it may use; 0 if it does not say.
	}

	// Said is what a node tells its peers of its state, besides who it is. Fields go by their numbers, so that nodes of one release
	// and the next understand each other while a release rolls: what is not known is passed over, and what is not told is
	// zero. A number is never used again for something else, and a new field's zero says that nothing is told.
	Said struct {
		Ready         bool                         `cbor:"1,keyasint,omitempty"`  // Ready says that it takes callers.
		Stopping      bool                         `cbor:"2,keyasint,omitempty"`  // Stopping says that it ends soon.
		Rate          float32                      `cbor:"3,keyasint,omitempty"`  // Rate is how many requests a second it serves.
		Loads         map[string]placement.Load    `cbor:"4,keyasint,omitempty"`  // Loads is its own work, by engine.
		Uses          []placement.Use              `cbor:"5,keyasint,omitempty"`  // Uses are the prompt parts it gave to engines since it last spoke to the receiver.
		Versions      map[string]int64             `cbor:"6,keyasint,omitempty"`  // Versions are those of its tables.
		ConfigVersion int                          `cbor:"7,keyasint,omitempty"`  // ConfigVersion is of the configuration in force there.
		ProofAgeMs    int64                        `cbor:"8,keyasint,omitempty"`  // ProofAgeMs is the age of the proof that this is the newest; -1 for none.
		CantRead      bool                         `cbor:"9,keyasint,omitempty"`  // CantRead says that it leaves reading the platform's store to others for now.
		SilentMs      int64                        `cbor:"10,keyasint,omitempty"` // SilentMs is how long a node that reads the store has had no answer; -1 if it does not read.
		LostAgeMs     int64                        `cbor:"11,keyasint,omitempty"` // LostAgeMs is how long ago its last call failed; -1 if never.
		Places        map[string][]dispatch.Places `cbor:"12,keyasint,omitempty"` // Places tells how the tiers fared, by pool.
		Holder        Holder                       `cbor:"13,keyasint,omitempty"` // Holder is who holds the system's duties, as the sender knows.
		Crashing      []quarantine.GossipEntry     `cbor:"14,keyasint,omitempty"` // Crashing are requests under which engines ended: what was learned of them lately, and all that are held.
		Nodes         NodeCount                    `cbor:"15,keyasint,omitzero"`  // Nodes is how many nodes a hub knows of.
		Chosen        []Known                      `cbor:"16,keyasint,omitempty"` // Chosen are the hubs that a hub wants in its hall, for those that may not know them.
		Limits        []limit.GossipEntry          `cbor:"17,keyasint,omitempty"` // Limits are the limits of engines, and which of them have ended lately.
		Leaving       []discovery.Told             `cbor:"18,keyasint,omitempty"` // Leaving are engines that said in their answers that they leave.
	}

	// Known is a node of the sender's hall, as others reach it.
	Known struct {
		_             struct{} `cbor:",toarray"`
		Name          string
		Incarnation   int64
		PeerAddress   string
		CallerAddress string
		Cores         float64
	}

	// NodeCount is how many nodes a hub knows of: those of its hall and those of all.
	NodeCount struct {
		_         struct{} `cbor:",toarray"`
		Hall, All int
	}

	// Holder is the node that acts for all towards the platform.
	Holder struct {
		_       struct{} `cbor:",toarray"`
		Token   int64    // Token is of its term; 0 for none.
		Address string   // Address is where peers call it.
		AgeMs   int64    // AgeMs is how long ago it said so; -1 where it gave the term up.
	}

	// Peer is another node.
	Peer struct {
		Self
		Said  Said
		heard time.Time
		met   time.Time
		addr  *net.UDPAddr
		echo  uint32   // echo is the number of the newest message from the peer.
		sent  int      // sent counts the messages to the peer.
		hubs  []string // hubs are those that the peer, being a hub, wants in its hall.
		due   int      // due is the turn of the next message to the peer.
		got   uint32   // got is the number of the newest message that the peer has of this node, as it said.

		chose    int    // chose is which choice of hubs the peer is told.
		choseSeq uint32 // choseSeq is the number of the first message that told it.
	}

	// message is one datagram.
	message struct {
		_           struct{} `cbor:",toarray"`
		Echo        uint32   // Echo is the number of the newest message that the sender has from the receiver.
		Seq         uint32   // Seq numbers the sender's messages.
		Name        string
		Incarnation int64
		Peer        string // Peer, Caller, Hall and Cores are empty where the receiver knows them.
		Caller      string
		Hall        string
		Cores       float64
		Hubs        []string // Hubs are the hubs of the sender's hall, where it is one.
		Said        cbor.RawMessage
	}
)
