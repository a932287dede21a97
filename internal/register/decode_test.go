package register

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/gossip"
)

// good is a row as a node writes it.
var good = gossip.NodeInfo{Name: "n", Incarnation: 1, PeerAddress: "10.0.0.1:7780", CallerAddress: "10.0.0.1:8080", Hall: "h", Cores: 0.4}

// FuzzDecode checks that a row is either decoded completely or rejected.
func FuzzDecode(f *testing.F) {
	text, err := json.Marshal(good)
	if err != nil {
		f.Fatal(err)
	}
	f.Add("1-n", text)
	f.Add("other", text)
	for _, bad := range []string{``, `null`, `{}`, `[]`, `{"Name":"n"}`, `{"Name":3}`, `{"Name":"n","Incarnation":1e99}`, "\xff\xfe", `{"Name":"n","Hall":["h"]}`} {
		f.Add("1-n", []byte(bad))
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		s, err := decodeNode(feed.Row{Key: key, Value: value})
		if err != nil && s != (gossip.NodeInfo{}) {
			t.Errorf("partly decoded: %+v with %v", s, err)
		}
		if err == nil && (!strings.HasSuffix(key, "-"+s.Name) || s.PeerAddress == "" || s.Hall == "") {
			t.Errorf("decoded an invalid row: %+v", s)
		}
	})
}
