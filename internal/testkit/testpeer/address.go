package testpeer

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
)

// FreeAddress and FreeAddressOnHost return addresses in a /24 block of loopback IPs that this test process has claimed. They
// do not open and close a port of 127.0.0.1 to find a free one: before the test opens the port again, a listener of another test process
// or an outgoing connection could take it.
const (
	firstBlockOctet = 200   // second octet of the first block; the sidecars and daemons that package rehearse starts use smaller ones
	blockOctetCount = 55    // number of values of the second octet that blocks have, from firstBlockOctet on
	blocksPerOctet  = 256   // number of blocks with the same second octet, which differ in the third one
	claimHost       = 254   // last octet of the IP at which a process claims its block
	claimPort       = 32767 // port at which a process claims its block; no address of a block has it
	firstPort       = 10000 // lowest port that nextAddress returns; its ports stay below those that the kernel assigns, from 32768 on by default
)

// addressBlock is a claimed block of loopback IPs.
type addressBlock struct {
	prefix      string        // first three octets of the block's IPs, with a dot at the end
	claim       net.Listener  // open listener that keeps other processes from claiming the block
	issuedCount atomic.Uint32 // number of addresses returned so far
}

// processBlock claims this process's block in its first call. The block is held until the process ends.
var processBlock = sync.OnceValues(func() (*addressBlock, error) { return claimBlock(os.Getpid()) })

// claimBlock claims the first free block. It begins with the block whose number is start, modulo the number of blocks.
func claimBlock(start int) (*addressBlock, error) {
	const blockCount = blockOctetCount * blocksPerOctet
	var lastErr error
	for i := range blockCount {
		n := (start + i) % blockCount
		prefix := fmt.Sprintf("127.%d.%d.", firstBlockOctet+n/blocksPerOctet, n%blocksPerOctet)
		claim, err := net.Listen("tcp", net.JoinHostPort(prefix+strconv.Itoa(claimHost), strconv.Itoa(claimPort)))
		if err == nil {
			return &addressBlock{prefix: prefix, claim: claim}, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("claim a block of loopback addresses: %w", lastErr)
}

// nextAddress returns an address, host:port, that the block has not returned before. Its IP ends in host.
func (b *addressBlock) nextAddress(host int) (string, error) {
	port := firstPort - 1 + int(b.issuedCount.Add(1))
	if port >= claimPort {
		return "", fmt.Errorf("no port below %d is left in %s0/24", claimPort, b.prefix)
	}
	return net.JoinHostPort(b.prefix+strconv.Itoa(host), strconv.Itoa(port)), nil
}

// FreeAddress returns a loopback address, host:port, at which nothing listens on TCP or UDP. No later call returns it again, and
// no other test process uses its IP.
func FreeAddress(tb testing.TB) string {
	tb.Helper()
	return FreeAddressOnHost(tb, 1)
}

// FreeAddressOnHost is like FreeAddress, for an IP that ends in host, from 1 to 253.
func FreeAddressOnHost(tb testing.TB, host int) string {
	tb.Helper()
	if host < 1 || host >= claimHost {
		tb.Fatalf("host %d is not from 1 to %d", host, claimHost-1)
	}
	block, err := processBlock()
	if err != nil {
		tb.Fatal(err)
	}
	address, err := block.nextAddress(host)
	if err != nil {
		tb.Fatal(err)
	}
	return address
}
