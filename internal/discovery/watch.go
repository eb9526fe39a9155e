package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// membersPath serves the endpoint list; with the query watch=1 it serves the changes after a version, as a stream.
	membersPath = "/catalog/members"

	// watchIdleTimeout closes a watch that sends nothing. The agent sends a heartbeat every 2 s. An update that a silent watch misses
	// counts as received 6 s after the silence began, and requests may use the old list for 0.5 s more. So two heartbeats are missed
	// before the watch is closed, and two further requests in vain leave more than half a second.
	watchIdleTimeout = 4300 * time.Millisecond

	// The first byte of a response comes at once from an agent on this machine, and an update that is received at the agent's
	// return counts at once. An agent that must be subscribed to serves requests one after the other, so it gets longer.
	pushedFirstByteTimeout     = 400 * time.Millisecond
	subscribedFirstByteTimeout = 2500 * time.Millisecond
)

// watch keeps one watch, after fetching the complete list if that is needed, and reports whether it received anything. The agent
// begins a watch with what has changed, or sends a heartbeat within 2 s if nothing has. A watch that opens and stays silent is
// therefore closed sooner than one that has sent something, unless the complete list has just been fetched.
func (c *AgentClient) watch(ctx context.Context) (hasReceived bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(c.firstByteTimeout, cancel)
	defer watchdog.Stop()
	firstByteTimeout := c.firstByteTimeout
	if c.version == nil {
		if err := c.fetchList(ctx, watchdog); err != nil {
			return false, err
		}
		hasReceived, firstByteTimeout = true, c.idleTimeout
		watchdog.Reset(c.firstByteTimeout)
	}
	body, err := c.get(ctx, "?watch=1&after="+strconv.FormatInt(*c.version, 10))
	if err != nil {
		return hasReceived, err
	}
	defer body.Close()
	watchdog.Reset(firstByteTimeout)
	reader := &messageReader{Reader: body, client: c, watchdog: watchdog}
	err = c.readUpdates(reader)
	return hasReceived || reader.hasReceived, err
}

// readUpdates applies the messages of a watch until it ends, and returns why it did.
func (c *AgentClient) readUpdates(reader *messageReader) error {
	decoder := json.NewDecoder(reader)
	for {
		var text json.RawMessage
		if err := decoder.Decode(&text); err != nil {
			return c.endWatch(reader, err)
		}
		reader.endMessage(decoder.Buffered())
		if err := c.applyMessage(text); err != nil {
			return err
		}
	}
}

// endWatch decides what the next watch must begin with, from the way this one ended.
func (c *AgentClient) endWatch(reader *messageReader, err error) error {
	switch {
	case reader.isMidMessage: // an update was sent, and its content is unknown
		c.version = nil
		return fmt.Errorf("watch: %w: %w", errMalformed, err)
	case !reader.hasReceived: // whatever it would have sent is in the complete list
		c.version = nil
	case errors.Is(err, io.EOF):
		err = errors.New("ended by discovery")
	}
	return fmt.Errorf("watch: %w", err)
}

// fetchList fetches the complete list once.
func (c *AgentClient) fetchList(ctx context.Context, watchdog *time.Timer) error {
	body, err := c.get(ctx, "")
	if err != nil {
		return err
	}
	defer body.Close()
	text, err := io.ReadAll(&messageReader{Reader: body, client: c, watchdog: watchdog})
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	return c.applyMessage(text)
}

// get requests the members and returns the body of a response with status 200. The caller closes it.
func (c *AgentClient) get(ctx context.Context, query string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+membersPath+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("%s%s: %s", membersPath, query, resp.Status)
	}
	return resp.Body, nil
}

// applyMessage delivers one message. After a malformed one, or changes to an older list than the one known, an update may have been
// missed, and the complete list is fetched next.
func (c *AgentClient) applyMessage(text []byte) error {
	update, err := ParseListUpdate(text)
	if err == nil && !update.Full && (c.version == nil || *update.Version < *c.version) {
		err = fmt.Errorf("version: %d does not follow", *update.Version)
	}
	if err != nil {
		c.version = nil
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	c.version = update.Version
	c.OnUpdate(update)
	return nil
}
