package swim

// broadcastQueue are updates to be sent on, each a bounded number of times, those first that went out least. There is one of a
// member at most.
type broadcastQueue struct {
	byName      map[string]*broadcast
	byTransmits [][]*broadcast // by how often they went out; an item that was replaced stays until it is come to
	lowest      int            // no level below it has items
}

type broadcast struct {
	Update
	transmits int
}

func (w *broadcastQueue) reset() { *w = broadcastQueue{byName: map[string]*broadcast{}} }

func (w *broadcastQueue) hasPending() bool { return len(w.byName) > 0 }

// enqueue makes an update the news of its member.
func (w *broadcastQueue) enqueue(u Update) {
	i := &broadcast{Update: u}
	w.byName[u.Name] = i
	w.insert(i)
}

func (w *broadcastQueue) insert(i *broadcast) {
	for len(w.byTransmits) <= i.transmits {
		w.byTransmits = append(w.byTransmits, nil)
	}
	w.byTransmits[i.transmits] = append(w.byTransmits[i.transmits], i)
	w.lowest = min(w.lowest, i.transmits)
}

// collect gives the updates for one message, after those that must go; none goes out more than most times.
func (w *broadcastQueue) collect(most int, out []Update) []Update {
	room := maxPiggybackBytes
	for i := range out {
		room -= out[i].encodedBound()
	}
	var again []*broadcast
	for w.lowest < len(w.byTransmits) && len(out) < MaxPiggyback {
		level := w.byTransmits[w.lowest]
		if len(level) == 0 {
			w.lowest++
			continue
		}
		i := level[0]
		if w.byName[i.Name] == i {
			if i.encodedBound() > room {
				break
			}
			room -= i.encodedBound()
			out = append(out, i.Update)
			if i.transmits++; i.transmits < most {
				again = append(again, i) // after this message: none may stand in it twice
			} else {
				delete(w.byName, i.Name)
			}
		}
		level[0] = nil
		w.byTransmits[w.lowest] = level[1:]
	}
	for _, i := range again {
		w.insert(i)
	}
	if len(w.byName) == 0 {
		w.byTransmits, w.lowest = nil, 0
	}
	return out
}

// encodedBound is an upper bound of an update's length in a message.
func (u *Update) encodedBound() int { return updateOverheadBytes + len(u.Name) + len(u.By) }
