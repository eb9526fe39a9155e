package swim

// news are updates to be sent on, each a bounded number of times, those first that went out least. There is one of a
// member at most.
type news struct {
	of     map[string]*item
	levels [][]*item // by how often they went out; an item that was replaced stays until it is come to
	low    int       // no level below it has items
}

type item struct {
	Update
	sent int
}

func (w *news) init() { *w = news{of: map[string]*item{}} }

func (w *news) any() bool { return len(w.of) > 0 }

// put makes an update the news of its member.
func (w *news) put(u Update) {
	i := &item{Update: u}
	w.of[u.Name] = i
	w.push(i)
}

func (w *news) push(i *item) {
	for len(w.levels) <= i.sent {
		w.levels = append(w.levels, nil)
	}
	w.levels[i.sent] = append(w.levels[i.sent], i)
	w.low = min(w.low, i.sent)
}

// take gives the updates for one message, after those that must go; none goes out more than most times.
func (w *news) take(most int, out []Update) []Update {
	room := piggyBytes
	for i := range out {
		room -= out[i].bytes()
	}
	var again []*item
	for w.low < len(w.levels) && len(out) < MaxPiggyback {
		level := w.levels[w.low]
		if len(level) == 0 {
			w.low++
			continue
		}
		i := level[0]
		if w.of[i.Name] == i {
			if i.bytes() > room {
				break
			}
			room -= i.bytes()
			out = append(out, i.Update)
			if i.sent++; i.sent < most {
				again = append(again, i) // after this message: none may stand in it twice
			} else {
				delete(w.of, i.Name)
			}
		}
		level[0] = nil
		w.levels[w.low] = level[1:]
	}
	for _, i := range again {
		w.push(i)
	}
	if len(w.of) == 0 {
		w.levels, w.low = nil, 0
	}
	return out
}

// bytes is an upper bound of an update's length in a message.
func (u *Update) bytes() int { return updateBytes + len(u.Name) + len(u.By) }
