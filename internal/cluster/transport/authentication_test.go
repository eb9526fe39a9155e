package transport

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"tuliprock/internal/cluster/swim"
)

// sampleSwimMessage returns a message with a nonzero value in each field.
func sampleSwimMessage() *swim.Message {
	return &swim.Message{
		Kind:             swim.Ping,
		From:             swim.Update{Peer: swim.Peer{Name: "a", Addr: netip.MustParseAddrPort("127.0.0.1:7"), Generation: 5}, Incarnation: 1},
		Seq:              3,
		Target:           swim.Peer{Name: "b", Addr: netip.MustParseAddrPort("[::1]:9"), Generation: 6},
		Digest:           9,
		GossipQueueEmpty: true,
		Updates: []swim.Update{{
			Peer:  swim.Peer{Name: "c", Addr: netip.MustParseAddrPort("10.0.0.1:7"), Generation: 7},
			State: swim.Suspect, Incarnation: 4, SuspectedBy: "a",
		}},
	}
}

// Guards against a change of the encoding of packets, since daemons of different builds exchange them.
func TestPacketEncodingIsFixed(t *testing.T) {
	unsigned, signed := &Options{Cluster: "c"}, &Options{Cluster: "c", Keys: Keys{newKey(secret)}}
	message := &Message{From: "a", Generation: 5, Kind: 'r', Body: []byte("body")}
	for _, row := range []struct {
		name string
		got  []byte
		want string
	}{
		{
			"unsigned message of the failure detector",
			appendSwimPacket(nil, unsigned, 1, sampleSwimMessage()),
			"545201000000000a01631101000000000000001a68080112160a016112047f0000011807210500000000000000300118" +
				"0322220a0162121000000000000000000000000000000001180921060000000000000030002909000000000000003001" +
				"3a1b0a016312040a0000011807210700000000000000280130043a0161",
		},
		{
			"signed message of the failure detector",
			appendSwimPacket(nil, signed, 1, sampleSwimMessage()),
			"5452014d0605b38ebe56c6b86e6008d64361a03f820754edc6b6c71fc6c24964d28b4312329ba00a0163110100000000" +
				"0000001a68080112160a016112047f00000118072105000000000000003001180322220a016212100000000000000000" +
				"00000000000000011809210600000000000000300029090000000000000030013a1b0a016312040a0000011807210700" +
				"000000000000280130043a0161",
		},
		{
			"signed message of Send",
			appendMessagePacket(nil, signed, 2, message),
			"5452014d0605b3b4b5ab67f80597fa425fbc4cbc0f1b08d09d0ad317fcd1dc0dc167e79640d3130a0163110200000000" +
				"00000022140a016111050000000000000018722204626f6479",
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			if got := hex.EncodeToString(row.got); got != row.want {
				t.Errorf("got  %s\nwant %s", got, row.want)
			}
		})
	}
}

// Guards the bounds on piggybacked updates: messages with the longest names, numbers and addresses must still fit a datagram.
func TestLongestMessageOfTheFailureDetectorFitsADatagram(t *testing.T) {
	longName := strings.Repeat("n", swim.MaxNameBytes)
	addr := netip.MustParseAddrPort("[2001:db8:1:2:3:4:5:6]:65535")
	longest := swim.Update{
		Peer:        swim.Peer{Name: longName, Addr: addr, Generation: 1<<64 - 1},
		State:       swim.Suspect,
		Incarnation: 1<<62 - 1,
		SuspectedBy: longName,
	}
	node := swim.New(0, swim.Options{Self: longest.Peer, Seed: 1})
	var updates []swim.Update
	for i := range 100 {
		u := longest
		u.Name = fmt.Sprintf("%s%02d", longName[2:], i)
		updates = append(updates, u)
	}
	sender := longest
	sender.Name, sender.State = "o"+longName[1:], swim.Alive
	node.Receive(0, &swim.Message{Kind: swim.Sync, From: sender, Updates: updates})

	options := &Options{Cluster: longName, Keys: Keys{newKey(secret)}}
	longestDatagramBytes := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		node.Tick(now)
		node.NextTick()
		for _, e := range node.TakeMessages() {
			if !e.NeedsStream {
				longestDatagramBytes = max(longestDatagramBytes, len(appendSwimPacket(nil, options, 1<<63, e.Message)))
			}
		}
	}
	if longestDatagramBytes > MaxDatagramBytes || longestDatagramBytes < MaxDatagramBytes/2 {
		t.Errorf("longest datagram has %d bytes, want %d to %d", longestDatagramBytes, MaxDatagramBytes/2, MaxDatagramBytes)
	}
}

// Checks that openPacket parses or rejects any input. A message that it has parsed must be the same after it is encoded and
// parsed again, and a swim.Node must be able to receive it.
func FuzzOpenPacket(f *testing.F) {
	unsigned, signed := &Options{Cluster: "c"}, &Options{Cluster: "c", Keys: Keys{newKey(secret)}}
	f.Add(appendSwimPacket(nil, unsigned, 1, sampleSwimMessage())[headerBytes:])
	f.Add(appendMessagePacket(nil, unsigned, 2, &Message{From: "a", Generation: 5, Kind: 'r', Body: []byte("body")})[headerBytes:])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, body []byte) {
		header := append([]byte(packetMagic), packetVersion, 0, 0, 0, 0)
		got, err := openPacket(append(header, body...), unsigned, swim.MaxPiggybackedUpdates)
		if err != nil {
			return
		}
		if got.message != nil {
			reparsed, err := openPacket(appendMessagePacket(nil, signed, got.sequence, got.message), signed, 0)
			if err != nil || reparsed.sequence != got.sequence || fmt.Sprintf("%+v", *got.message) != fmt.Sprintf("%+v", *reparsed.message) {
				t.Errorf("parsed again as %+v, want %+v; error %v", reparsed.message, got.message, err)
			}
			return
		}
		reparsed, err := openPacket(appendSwimPacket(nil, signed, got.sequence, got.swimMessage), signed, swim.MaxPiggybackedUpdates)
		if err != nil || reparsed.sequence != got.sequence || fmt.Sprintf("%+v", got.swimMessage) != fmt.Sprintf("%+v", reparsed.swimMessage) {
			t.Errorf("parsed again as %+v, want %+v; error %v", reparsed.swimMessage, got.swimMessage, err)
		}
		node := swim.New(0, swim.Options{Self: swim.Peer{Name: "z", Addr: netip.MustParseAddrPort("127.0.0.1:8"), Generation: 1}})
		node.Receive(time.Second, got.swimMessage)
	})
}
