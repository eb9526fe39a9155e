package consensus

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Whatever is heard in whatever order, with disks that are lost at any moment: once a majority has begun with the same marks, who
// loses its disk never begins. Where a majority has lost theirs nobody can know.
func TestBootstrapNeverBeginsAfterDiskLoss(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		type disk struct {
			mark string
			word BootstrapVote
		}
		disks, lives := map[string]*disk{}, map[string]*Bootstrap{}
		lost, n := map[string]bool{}, 0 // since a majority had begun
		founded := func() bool {
			with := map[string]int{}
			for _, d := range disks {
				if d.word.Begun {
					if with[fmt.Sprint(d.word.Marks)]++; with[fmt.Sprint(d.word.Marks)] > len(names)/2 {
						return true
					}
				}
			}
			return false
		}
		was := false
		fresh := func(name string) {
			n++
			disks[name] = &disk{mark: fmt.Sprint("m", n)}
			lives[name] = NewBootstrap(name, disks[name].mark, names)
		}
		for _, name := range names {
			fresh(name)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "who")
			d := disks[name]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0: // its disk is lost
				if was {
					lost[name] = true
				}
				if len(lost) > len(names)/2 {
					return
				}
				fresh(name)
				for _, f := range lives { // that takes longer than a round
					f.StartRound()
				}
				continue
			case 1: // it starts again
				lives[name] = NewBootstrap(name, d.mark, names)
			}
			other := rapid.SampledFrom(names).Draw(t, "of whom")
			if d.word.Begun || other == name {
				continue
			}
			w := disks[other].word
			if w.DiskID = disks[other].mark; !w.Begun {
				w = lives[other].Vote()
			}
			lives[name].ReceiveVote(other, lives[name].round, w)
			with, isLost := lives[name].Decision()
			if with == nil || isLost {
				continue
			}
			if lost[name] {
				t.Fatalf("%s begins with %v, though its disk was lost after others had begun", name, with)
			}
			if with[name] != d.mark || len(with) != len(names) {
				t.Fatalf("%s, whose mark is %s, begins with %v", name, d.mark, with)
			}
			d.word = BootstrapVote{Begun: true, DiskID: d.mark, Marks: with}
			was = was || founded()
		}
	})
	f := NewBootstrap("a", "1", names)
	f.ReceiveVote("b", 0, BootstrapVote{DiskID: "2"})
	f.ReceiveVote("x", 0, BootstrapVote{Begun: true})
	if marks, lost := f.Decision(); marks != nil || lost || fmt.Sprint(f.MissingVotes()) != "[c]" {
		t.Errorf("%v %v %v", marks, lost, f.MissingVotes())
	}
	if f.ReceiveVote("c", 0, BootstrapVote{Begun: true, Marks: map[string]string{"a": "0"}}); !f.isLost() {
		t.Error("another disk of its name was there")
	}
}

func (b *Bootstrap) isLost() bool {
	_, lost := b.Decision()
	return lost
}
