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
	// ErrStaleVote means that the platform discarded the vote because it names another build or stage than the current one.
	ErrStaleVote = errors.New("api: the vote is not for the current build or stage")
	// ErrTooManyVotes means that the platform rejected the vote because it receives more than it accepts.
	ErrTooManyVotes = errors.New("api: more votes than the platform accepts")
	// ErrVoteOutcomeUnknown means that no complete answer arrived, so the vote may have been counted.
	ErrVoteOutcomeUnknown = errors.New("api: no answer in time; the vote may have been counted")
)

const (
	// defaultWatchIdleTimeout is Client.WatchIdleTimeout of a new client.
	defaultWatchIdleTimeout = 3 * time.Second
	// maxIdleConns is the number of idle connections that a client keeps open.
	maxIdleConns = 8
	// watchBufferBytes is the size of a watch's read buffer. It does not limit the length of a line.
	watchBufferBytes = 64 << 10
	// maxVoteAnswerBytes bounds how much of the answer to a vote is read.
	maxVoteAnswerBytes = 64 << 10
)

// Client accesses one API server. It is safe for concurrent use.
type Client struct {
	BaseURL string // for example http://127.0.0.1:7000
	HTTP    *http.Client
	// WatchIdleTimeout is the time without any event after which a watch fails.
	WatchIdleTimeout time.Duration
}

// NewClient returns a client with its own connection pool; Close releases it.
func NewClient(baseURL string) *Client {
	return &Client{BaseURL: baseURL, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
		WatchIdleTimeout: defaultWatchIdleTimeout}
}

// Close closes idle connections.
func (c *Client) Close() { c.HTTP.CloseIdleConnections() }

// Watch opens a watch and passes each line of it to handle, until the watch or handle fails or ctx is cancelled. It always
// returns a non-nil error.
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
	lines := bufio.NewReaderSize(resp.Body, watchBufferBytes)
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

// cause returns the cause of ctx's cancellation, or err if ctx was not cancelled.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// Vote casts a vote and returns the release state from the platform's answer. ErrStaleVote and ErrTooManyVotes mean that
// the vote was not counted, and ErrVoteOutcomeUnknown that it may have been.
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxVoteAnswerBytes))
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
