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
	// membersPath is the agent's URL path for the endpoint list. With the query watch=1&after=VERSION the agent sends a stream of the
	// changes after that version.
	membersPath = "/catalog/members"

	// watchIdleTimeout is how long a watch may send nothing before it is closed. The agent sends a heartbeat every 2 s. If an update is
	// missed because the watch is silent, the platform expects the sidecar to have the update 6 s after the silence began, and tolerates
	// the old list for 0.5 s more. With this timeout two heartbeats are missed before the watch is closed, and even after two further
	// requests without a response more than half a second of the 6 s is left.
	watchIdleTimeout = 4300 * time.Millisecond

	// pushedFirstByteTimeout is the time limit for the first byte of a response if watches need no call of Subscribe. It is short since
	// the agent runs on this machine and normally responds at once, and since after a silence of the agent the platform expects the
	// sidecar to have received the agent's updates as soon as the agent responds again.
	pushedFirstByteTimeout = 400 * time.Millisecond
	// subscribedFirstByteTimeout is the time limit for the first byte of a response if each watch must be requested by Subscribe. It is
	// longer than pushedFirstByteTimeout since an agent with such watches handles one request at a time.
	subscribedFirstByteTimeout = 2500 * time.Millisecond
)

// watch runs one watch until it ends, and reports whether anything was received. It first fetches the complete list if no version of
// the list is known. The agent begins a watch with the changes since the given version, or sends a heartbeat within 2 s if there are
// none. So a watch from which nothing arrives after it opens is closed after firstByteTimeout, since it may have missed changes. Right
// after a fetch of the complete list there may be no changes to send, so the watch is closed only after idleTimeout.
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

// readUpdates applies the messages of a watch until it ends. The error says why it ended, and is never nil.
func (c *AgentClient) readUpdates(reader *messageReader) error {
	decoder := json.NewDecoder(reader)
	for {
		var text json.RawMessage
		if err := decoder.Decode(&text); err != nil {
			return c.handleReadError(reader, err)
		}
		reader.endMessage(decoder.Buffered())
		if err := c.applyMessage(text); err != nil {
			return err
		}
	}
}

// handleReadError turns the error that ended a watch into one for the log, and drops the known version if an update may have been
// missed, so that the complete list is fetched next.
func (c *AgentClient) handleReadError(reader *messageReader, err error) error {
	switch {
	case reader.isMidMessage: // the content of the incomplete update is unknown
		c.version = nil
		return fmt.Errorf("watch: %w: %w", errMalformedMessage, err)
	case !reader.hasReceived: // the watch never sent the changes that it should begin with
		c.version = nil
	case errors.Is(err, io.EOF):
		err = errors.New("closed by the agent")
	}
	return fmt.Errorf("watch: %w", err)
}

// fetchList fetches and applies the complete list.
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

// get requests membersPath with a query and returns the body of the response, whose status must be 200. The caller closes the body.
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

// applyMessage parses one message and calls OnUpdate with it. If the message is malformed, or has changes to an older list than the
// known one, an update may have been missed: the version is dropped, so that the complete list is fetched next.
func (c *AgentClient) applyMessage(text []byte) error {
	update, err := ParseListUpdate(text)
	if err == nil && !update.Full && (c.version == nil || *update.Version < *c.version) {
		err = fmt.Errorf("version: the changes up to version %d do not apply to the known list", *update.Version)
	}
	if err != nil {
		c.version = nil
		return fmt.Errorf("%w: %w", errMalformedMessage, err)
	}
	c.version = update.Version
	c.OnUpdate(update)
	return nil
}
