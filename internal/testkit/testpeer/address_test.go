package testpeer

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
)

// Addresses differ, can be bound for TCP and UDP, and have ports that the kernel does not assign to outgoing connections.
func TestFreeAddressesAreDistinctAndCanBeBound(t *testing.T) {
	portRange, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Fatal(err)
	}
	lowestAssignedPort, err := strconv.Atoi(strings.Fields(string(portRange))[0])
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for i := range 100 {
		address := FreeAddressOnHost(t, 1+i%2)
		if seen[address] {
			t.Fatalf("%s was returned twice", address)
		}
		seen[address] = true
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		packetConn, err := net.ListenPacket("udp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer packetConn.Close()
		if port := listener.Addr().(*net.TCPAddr).Port; port >= lowestAssignedPort {
			t.Errorf("port %d may be assigned to an outgoing connection, want one below %d", port, lowestAssignedPort)
		}
	}
}

// A block that is claimed already, for example by another test process, is not claimed again.
func TestClaimedBlockIsSkipped(t *testing.T) {
	first, err := claimBlock(7)
	if err != nil {
		t.Fatal(err)
	}
	defer first.claim.Close()
	second, err := claimBlock(7)
	if err != nil {
		t.Fatal(err)
	}
	defer second.claim.Close()
	if first.prefix == second.prefix {
		t.Errorf("both claims got %s0/24", first.prefix)
	}
}

// An address is never returned twice: a block without a port left returns an error.
func TestBlockWithoutPortsLeftReturnsAnError(t *testing.T) {
	block := &addressBlock{prefix: "127.0.0."}
	block.issuedCount.Store(claimPort - firstPort)
	if address, err := block.nextAddress(1); err == nil {
		t.Errorf("got %s, want an error", address)
	}
}
