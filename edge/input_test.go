package edge

import (
	"bytes"
	"math/rand"
	"testing"
)

// The input must be the received bytes in their order, however they are cut and consumed, and must not change when the event
// library reuses the memory of a chunk.
func TestInputBufferKeepsReceivedBytes(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 200 {
		var b inputBuffer
		var want []byte
		next := byte(0)
		for range 100 {
			chunk := make([]byte, 1+rng.Intn(3000))
			for i := range chunk {
				chunk[i] = next
				next++
			}
			b.receive(chunk)
			want = append(want, chunk...)
			if n := rng.Intn(len(want) + 1); n > 0 && rng.Intn(3) > 0 {
				b.consume(n)
				want = want[n:]
			}
			b.retain()
			clear(chunk)
			if !bytes.Equal(b.data, want) {
				t.Fatalf("got %d bytes, want %d, or their contents differ", len(b.data), len(want))
			}
			if len(want) == 0 && b.memory() > maxKeptInputBytes {
				t.Fatalf("an empty buffer keeps %d bytes", b.memory())
			}
		}
	}
}
