package discovery

import (
	"testing"

	"tuliprock/balance"
	"tuliprock/internal/testkit/testpeer"
)

func TestParseListUpdateReadsAllFields(t *testing.T) {
	update, err := ParseListUpdate([]byte(testpeer.EncodeMembers(3, true,
		testpeer.EncodeMember("a", "127.0.0.1:1", "Ready"), testpeer.EncodeMember("b", "", "Gone"))))
	if err != nil {
		t.Fatal(err)
	}
	a := update.Members[0]
	if *update.Version != 3 || !update.Full || a.ID != "a" || a.Addr != "127.0.0.1:1" || a.Zone != "z" || a.Kind != "k" || a.Cell != 3 ||
		a.State != balance.Ready || update.Members[1].State != balance.Gone {
		t.Errorf("parsed %+v, want the complete list at version 3, with a ready and a gone member", update)
	}
}
