package raftnode

import (
	"context"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/swim"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/testkit/testpeer"
	"tuliprock/internal/wal"
)

// earlierBuildDir is the path of a directory with data directories and responses to operators that daemons of an earlier
// build wrote (testdata/README.md).
const earlierBuildDir = "testdata/build-94b9de8"

// earlierInitialVoters are the initial voters of the earlier build's cluster.
var earlierInitialVoters = []string{"bay-1", "bay-2", "bay-3"}

// earlierDiskIDs are the disk ids of the earlier build's daemons, by name.
var earlierDiskIDs = map[string]string{
	"bay-1": "3VKFU424G4JACKRYTYJF65Q6BO",
	"bay-2": "WZGQWHUKSHO2WIDRJFFWEMQHYH",
	"bay-3": "XIXELP7R2CUFTXHM5VYEX4SPK7",
	"bay-4": "MXVAGED2ZUPVRM3N4KMNALE22T",
}

// earlierFixture names the data directories that the earlier build's daemons left when all of them were killed at some
// moment, and has the state that daemons of this build must find in the data.
type earlierFixture struct {
	name            string            // name of the directory below earlierBuildDir
	version         uint64            // version on which all daemons acted
	bodies          map[string]string // body of each document, other than the document "shared", by the document's name
	voters          []string          // names of the voters in the daemons' cache files
	knownVoters     []string          // names of all voters and initial voters, from which a daemon may request a lease
	term            uint64            // raft's term on the voters' disks
	snapshotIndexes map[string]uint64 // index of the snapshot in each daemon's durable log, by the daemon's name; nil: no snapshots
}

// earlierFixtures are the fixtures of two moments: before and after the voters of the earlier build's cluster changed.
var earlierFixtures = []earlierFixture{
	{
		name:    "first-voters",
		version: 14,
		bodies: map[string]string{
			"flag/a":              "one",
			"flag/c":              "four, by one that does not vote",
			"out/127.0.0.1:21040": "",
		},
		voters:      earlierInitialVoters,
		knownVoters: earlierInitialVoters,
		term:        1,
	},
	{
		name:    "voters-changed",
		version: 17,
		bodies: map[string]string{
			"flag/a":              "six, after all were killed",
			"flag/c":              "four, by one that does not vote",
			"flag/d":              "five, when there are four voters",
			"flag/e":              "seven, when bay-3 is out",
			"out/127.0.0.1:21040": "",
		},
		voters:          []string{"bay-1", "bay-2", "bay-4"},
		knownVoters:     []string{"bay-1", "bay-2", "bay-3", "bay-4"},
		term:            2,
		snapshotIndexes: map[string]uint64{"bay-1": 80, "bay-2": 80, "bay-3": 80, "bay-4": 2},
	},
}

// copyData copies a daemon's data directory into a temporary one and opens the copy.
func (f *earlierFixture) copyData(t *testing.T, daemon string) wal.FS {
	t.Helper()
	path := filepath.Join(t.TempDir(), daemon)
	if err := os.CopyFS(path, os.DirFS(filepath.Join(earlierBuildDir, f.name, daemon))); err != nil {
		t.Fatal(err)
	}
	disk, err := wal.OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	return disk
}

// documentLines returns the lines with which the operators' command "settings" describes documents.
func documentLines(docs map[string]consensus.Document) string {
	var lines strings.Builder
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		d := docs[name]
		fmt.Fprintf(&lines, "document name=%s version=%d by=%s bytes=%d sha256=%x\n", name, d.Version, d.ProposedBy, len(d.Body), d.Digest)
	}
	return lines.String()
}

// historyLines returns the lines with which the operators' command "settings history" describes changes.
func historyLines(history []consensus.HistoryEntry) string {
	var lines strings.Builder
	for _, e := range history {
		fmt.Fprintf(&lines, "change version=%d name=%s bytes=%d sha256=%x by=%s at_ms=%d back=%d\n",
			e.Version, e.Name, e.Bytes, e.Digest, e.ProposedBy, e.AtUnixMilli, e.RevertedTo)
	}
	return lines.String()
}

// readEarlierResponseLines returns the lines whose first word is firstWord in a file below earlierBuildDir. The file has a
// response that a daemon of the earlier build sent to an operator.
func readEarlierResponseLines(t *testing.T, file, firstWord string) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(earlierBuildDir, file))
	if err != nil {
		t.Fatal(err)
	}
	lines := slices.Collect(strings.Lines(string(text)))
	return slices.DeleteFunc(lines, func(line string) bool { return !strings.HasPrefix(line, firstWord+" ") })
}

// checkDocuments fails the test unless the documents are those on which the earlier build's daemons acted.
func (f *earlierFixture) checkDocuments(t *testing.T, docs map[string]consensus.Document) {
	t.Helper()
	if got, want := documentLines(docs), strings.Join(readEarlierResponseLines(t, f.name+".settings.txt", "document"), ""); got != want {
		t.Errorf("documents\n%swant\n%s", got, want)
	}
	for name, d := range docs {
		if body, ok := f.bodies[name]; ok && string(d.Body) != body {
			t.Errorf("document %s has body %q, want %q", name, d.Body, body)
		}
		if d.Name != name || sha256.Sum256(d.Body) != d.Digest {
			t.Errorf("document %s has name %q and digest %x, want its own name and the SHA-256 of its body", name, d.Name, d.Digest)
		}
	}
}

// startReplacementTransport starts a transport of this build with the name of a daemon of the earlier build.
func startReplacementTransport(t *testing.T, daemon string, join ...netip.AddrPort) *transport.Transport {
	t.Helper()
	return startTestTransport(t, transport.Options{
		Name:   daemon,
		Join:   join,
		Timing: swim.Options{ProbeInterval: 100 * time.Millisecond, ProbeTimeout: 50 * time.Millisecond, SuspicionTimeout: 300 * time.Millisecond},
	})
}

// startReplacementNode starts a node of this build with the name and the disk of a daemon of the earlier build.
func startReplacementNode(t *testing.T, daemon string, disk wal.FS, l *transport.Transport) *Node {
	t.Helper()
	n, err := Start(Options{
		Name:          daemon,
		InitialVoters: earlierInitialVoters,
		Disk:          disk,
		Lease:         testLeaseConfig,
		Transport:     l,
		Now:           l.Now,
		Log:           slog.New(slog.NewTextHandler(t.Output(), nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// A daemon that starts alone from the data of an earlier build has the identity of its voter and the version from its
// cache file, but no lease.
func TestNodeStartsFromDataOfEarlierBuild(t *testing.T) {
	for _, f := range earlierFixtures {
		for _, daemon := range slices.Sorted(maps.Keys(earlierDiskIDs)) {
			t.Run(f.name+"/"+daemon, func(t *testing.T) {
				disk := f.copyData(t, daemon)
				if text, err := readFile(disk, diskIDFile, maxIdentityBytes); err != nil || string(text) != earlierDiskIDs[daemon]+"\n" {
					t.Errorf("disk id %q, error %v; want %q", text, err, earlierDiskIDs[daemon]+"\n")
				}
				n := startReplacementNode(t, daemon, disk, startReplacementTransport(t, daemon))
				leased, ok := n.Valid()
				if leased.Version != f.version || ok {
					t.Errorf("the node starts with version %d, leased %t; want %d without a lease", leased.Version, ok, f.version)
				}
				f.checkDocuments(t, leased.Docs)
				if err := n.Close(); err != nil {
					t.Fatal(err)
				}
				// The node's goroutines have ended, so the fields that the event loop owned may be read.
				if n.cachedEntry.Version != f.version || !slices.Equal(n.cachedEntry.Voters, f.voters) {
					t.Errorf("cached version %d and voters %q, want %d and %q", n.cachedEntry.Version, n.cachedEntry.Voters, f.version, f.voters)
				}
				if !slices.Equal(n.leaseClient.knownVoters, f.knownVoters) {
					t.Errorf("the node knows the voters %q, want %q", n.leaseClient.knownVoters, f.knownVoters)
				}
				f.checkVoter(t, daemon, n)
			})
		}
	}
}

// checkVoter fails the test unless a closed node has the voter that the daemon of the earlier build had.
func (f *earlierFixture) checkVoter(t *testing.T, daemon string, n *Node) {
	t.Helper()
	if daemon == "bay-4" && f.snapshotIndexes == nil { // when this fixture was made, bay-4 was not a voter yet
		if n.localVoter != nil || n.diskID != earlierDiskIDs[daemon] {
			t.Errorf("voter %+v, disk id %q; want none, %q", n.localVoter, n.diskID, earlierDiskIDs[daemon])
		}
		return
	}
	if n.localVoter == nil {
		t.Fatal("the node has no voter")
	}
	const wantClusterID = "ef8b6c92f1d49007" // cluster id in the identity file of bay-4
	want := identity{name: daemon, voterID: 4, diskIDs: map[string]string{}}
	if daemon != "bay-4" {
		want.initialVoters, want.voterID = earlierInitialVoters, uint64(slices.Index(earlierInitialVoters, daemon)+1)
		want.diskIDs = maps.Clone(earlierDiskIDs)
		delete(want.diskIDs, "bay-4")
		want.founding = "5f953d00c9446126" // the first 8 bytes of SHA-256 of the initial voters' names and disk ids
	}
	got := n.localVoter.identity
	if fmt.Sprintf("%x", got.clusterID) != wantClusterID {
		t.Errorf("cluster id %x, want %s", got.clusterID, wantClusterID)
	}
	got.clusterID = clusterID{}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("identity %+v, want %+v", got, want)
	}
	if term := n.localVoter.voter.Term(); term != f.term {
		t.Errorf("term %d, want %d", term, f.term)
	}
	if index := n.localVoter.log.SnapshotIndex(); index != f.snapshotIndexes[daemon] {
		t.Errorf("the log has a snapshot at index %d, want %d", index, f.snapshotIndexes[daemon])
	}
}

// Voters of this build that start from the data of an earlier build elect a leader, act on the stored version, know the
// history and the voters, and commit the next version.
func TestClusterContinuesFromDataOfEarlierBuild(t *testing.T) {
	for _, f := range earlierFixtures {
		t.Run(f.name, func(t *testing.T) {
			c := &testCluster{t: t}
			var join []netip.AddrPort
			for _, daemon := range f.voters {
				l := startReplacementTransport(t, daemon, join...)
				join = append(join, l.Addr())
				n := startReplacementNode(t, daemon, f.copyData(t, daemon), l)
				t.Cleanup(func() {
					if err := n.Close(); err != nil {
						t.Error(err)
					}
				})
				c.transports, c.nodes = append(c.transports, l), append(c.nodes, n)
			}
			for _, n := range c.nodes {
				testpeer.Eventually(t, fmt.Sprint("the node acts on version ", f.version), func() bool {
					leased, ok := n.Valid()
					return ok && leased.Version == f.version
				})
				leased, _ := n.Valid()
				f.checkDocuments(t, leased.Docs)
				testpeer.Eventually(t, "the node votes, and its voter has applied the stored version", func() bool {
					s := n.Status()
					return s.IsVoter && s.AppliedVersion == f.version && s.PendingVersion == f.version && s.OldestActiveVersion == f.version
				})
				if s := n.Status(); !slices.Equal(s.ActiveVoters, f.voters) || s.Term <= f.term {
					t.Errorf("active voters %q in term %d, want %q in a later term than %d", s.ActiveVoters, s.Term, f.voters, f.term)
				}
				f.checkHistory(t, n)
			}
			if version := c.put(1, "the next", "of this build"); version != f.version+1 {
				t.Errorf("the next version is %d, want %d", version, f.version+1)
			}
			c.waitUntilAllNodesActOn(f.version+1, "of this build")
		})
	}
}

// checkHistory fails the test unless a node returns the history that the earlier build's daemons returned.
func (f *earlierFixture) checkHistory(t *testing.T, n *Node) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testpeer.Timeout)
	defer cancel()
	r, err := n.Propose(ctx, consensus.Command{Read: &consensus.DocumentVersion{}})
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Join(readEarlierResponseLines(t, "history.txt", "change")[:f.version], "")
	if got := historyLines(r.History); r.Version != f.version || got != want {
		t.Errorf("history at version %d\n%swant\n%s", r.Version, got, want)
	}
	r, err = n.Propose(ctx, consensus.Command{Read: &consensus.DocumentVersion{Name: "flag/a", Version: 3}})
	if err != nil {
		t.Fatal(err)
	}
	if r.Doc == nil || string(r.Doc.Body) != "three" {
		t.Errorf("flag/a at version 3 is %+v, want body three", r.Doc)
	}
}
