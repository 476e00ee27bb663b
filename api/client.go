package api

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// Errors of Client.Vote.
var (
	// ErrStaleVote means that the platform discarded the vote, as it names another build or stage than the current one.
	ErrStaleVote = errors.New("api: the vote is not for the current build or stage")
	// ErrTooManyVotes means that the platform rejected the vote because it receives more than it accepts.
	ErrTooManyVotes = errors.New("api: more votes than the platform accepts")
	// ErrVoteOutcomeUnknown means that no complete answer arrived: the platform may or may not have counted the vote.
	ErrVoteOutcomeUnknown = errors.New("api: no answer in time; the vote may have been counted")
)

// Client accesses one API server. It is safe for concurrent use.
type Client struct {
	BaseURL string // for example http://127.0.0.1:7000
	HTTP    *http.Client
	// WatchIdleTimeout is how long a watch may deliver no event before it fails.
	WatchIdleTimeout time.Duration
}

// NewClient returns a client with its own connection pool; Close releases it.
func NewClient(baseURL string) *Client {
	return &Client{BaseURL: baseURL, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}, WatchIdleTimeout: 3 * time.Second}
}

// Close closes idle connections.
func (c *Client) Close() { c.HTTP.CloseIdleConnections() }

// Watch reads events from one watch until it fails or ctx ends, and passes each line to handle. It always returns a non-nil
// error.
func (c *Client) Watch(ctx context.Context, path string, query url.Values, handle func(line []byte) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(c.WatchIdleTimeout, func() { cancel(errors.New("the watch fell silent")) })
	defer idle.Stop()
	query.Set("watch", "1")
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.BaseURL+path+"?"+query.Encode(), nil)
	if err != nil {
		return fmt.Errorf("watch %s: %w", path, err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("watch %s: %w", path, cause(ctx, err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("watch %s: status %d", path, resp.StatusCode)
	}
	lines := bufio.NewReaderSize(resp.Body, 64<<10)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return fmt.Errorf("watch %s: %w", path, cause(ctx, err))
		}
		idle.Reset(c.WatchIdleTimeout)
		if err := handle(bytes.TrimSpace(line)); err != nil {
			return fmt.Errorf("watch %s: %w", path, err)
		}
	}
}

// cause returns the reason why ctx was cancelled, or err if it was not.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// Vote casts a vote and returns the release state that the platform answers with. It fails with ErrStaleVote,
// ErrTooManyVotes, ErrVoteOutcomeUnknown, or another error if the vote was not counted.
func (c *Client) Vote(ctx context.Context, v Vote) (ReleaseEvent, error) {
	var event ReleaseEvent
	body, err := json.Marshal(v)
	if err != nil {
		return event, err
	}
	endpoint := fmt.Sprintf("%s/v1/releases/%d/votes", c.BaseURL, v.Build)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint, bytes.NewReader(body))
	if err != nil {
		return event, fmt.Errorf("vote: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			return event, ErrVoteOutcomeUnknown
		}
		return event, fmt.Errorf("vote: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return event, ErrVoteOutcomeUnknown
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if err := json.Unmarshal(text, &event); err != nil {
			return event, fmt.Errorf("vote: malformed answer: %w", err)
		}
		return event, nil
	case http.StatusConflict:
		return event, ErrStaleVote
	case http.StatusTooManyRequests:
		return event, ErrTooManyVotes
	}
	return event, fmt.Errorf("vote: status %d", resp.StatusCode)
}
