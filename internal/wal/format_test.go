package wal_test

import (
	"encoding/hex"
	"errors"
	"slices"
	"testing"

	"tuliprock/internal/testkit/simdisk"
)

// The files of a log with a snapshot have exactly the bytes that docs/wal-format.md specifies.
func TestFilesHaveBytesOfFormatVersion1(t *testing.T) {
	// format version, four zero bytes, index of the record that the file is named after
	const header = "01000000" + "00000000" + "0100000000000000"
	want := map[string]string{
		"00000000000000000001.log": hex.EncodeToString([]byte("TULIPWAL")) + header + "6c963a6b" + "00000000" +
			// of each record: checksum, payload length, type, index, index of the last record that was durable when the record was
			// appended, payload
			"a515afce" + "05000000" + "74" + "0100000000000000" + "0000000000000000" + "6669727374" +
			"a8fd78da" + "00000000" + "74" + "0200000000000000" + "0000000000000000" +
			"1928b3c7" + "02000000" + "75" + "0300000000000000" + "0200000000000000" + "00ff",
		"00000000000000000001.snap": hex.EncodeToString([]byte("TULIPSNP")) + header + "c937c9b1" + "00000000" +
			hex.EncodeToString([]byte("state")) + "0500000000000000" + "df68db66" + "bb5a05eb", // body; trailer: length of the body, checksum of the body, checksum of the trailer
	}
	disk := simdisk.New()
	l, _, err := openLog(disk)
	if err != nil {
		t.Fatal(err)
	}
	for _, payload := range []string{"first", ""} {
		if _, err := l.Append('t', []byte(payload)); err != nil {
			t.Fatal(err)
		}
	}
	if err := errors.Join(l.Sync(), l.WriteSnapshot(1, []byte("state"))); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Append('u', []byte{0, 255}); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(l.Sync(), l.Close()); err != nil {
		t.Fatal(err)
	}
	names, err := disk.List()
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(names)
	if wantNames := []string{"00000000000000000001.log", "00000000000000000001.snap"}; !slices.Equal(names, wantNames) {
		t.Errorf("the log has the files %q, want %q", names, wantNames)
	}
	for _, name := range names {
		if got := hex.EncodeToString(disk.Bytes(name)); got != want[name] {
			t.Errorf("%s has the bytes %s, want %s", name, got, want[name])
		}
	}
}
