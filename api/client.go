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

// Outcomes of a vote that was not counted, or may not have been.
var (
	ErrStaleVote          = errors.New("api: the vote is not for the present build or stage")
	ErrTooManyVotes       = errors.New("api: more votes than the platform takes")
	ErrVoteOutcomeUnknown = errors.New("api: no answer in time; the vote may count")
)

// Client speaks to one server. It is safe for concurrent use.
type Client struct {
	BaseURL string // such as http://127.0.0.1:7000
	HTTP    *http.Client
	// WatchIdleTimeout is how long a watch may say nothing before it counts as broken.
	WatchIdleTimeout time.Duration
}

// NewClient makes a client with connections of its own; Close ends them.
func NewClient(base string) *Client {
	return &Client{BaseURL: base, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}, WatchIdleTimeout: 3 * time.Second}
}

// Close drops idle connections.
func (c *Client) Close() { c.HTTP.CloseIdleConnections() }

// Watch reads one watch until it breaks or ctx ends, and hands each line to on. It always gives an error.
func (c *Client) Watch(ctx context.Context, path string, query url.Values, on func(line []byte) error) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	quiet := time.AfterFunc(c.WatchIdleTimeout, func() { stop(errors.New("the watch fell silent")) })
	defer quiet.Stop()
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
		quiet.Reset(c.WatchIdleTimeout)
		if err := on(bytes.TrimSpace(line)); err != nil {
			return fmt.Errorf("watch %s: %w", path, err)
		}
	}
}

func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// Vote casts a vote and gives the news that answers it. Errors: ErrMoot, ErrFull, ErrUnknown, or another for a
// vote that does not count.
func (c *Client) Vote(ctx context.Context, v Vote) (ReleaseEvent, error) {
	var out ReleaseEvent
	body, err := json.Marshal(v)
	if err != nil {
		return out, err
	}
	url := fmt.Sprintf("%s/v1/releases/%d/votes", c.BaseURL, v.Build)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return out, fmt.Errorf("vote: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			return out, ErrVoteOutcomeUnknown
		}
		return out, fmt.Errorf("vote: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return out, ErrVoteOutcomeUnknown
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if err := json.Unmarshal(text, &out); err != nil {
			return out, fmt.Errorf("vote: malformed answer: %w", err)
		}
		return out, nil
	case http.StatusConflict:
		return out, ErrStaleVote
	case http.StatusTooManyRequests:
		return out, ErrTooManyVotes
	}
	return out, fmt.Errorf("vote: status %d", resp.StatusCode)
}
