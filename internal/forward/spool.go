package forward

import (
	"guavapier/internal/spool"
	"guavapier/internal/upstream"
)

// startSpool returns a reader of the answer's body that goes on while the caller reads slowly,
// and the writer to the caller. endSpool has to be called with both.
func (c *call) startSpool(a *upstream.Answer) (*spool.Spool, *spool.Writer) {
	body := spool.New(a.Body, c.f.SlowReaders)
	return body, spool.NewWriter(c.w, body)
}

// endSpool ends what startSpool has started and logs it if the caller read slowly.
func (c *call) endSpool(a *upstream.Answer, body *spool.Spool, caller *spool.Writer) {
	caller.Close()
	held := body.Stop(a.Interrupt)
	if held == 0 {
		return
	}
	c.f.Log.Info().Str("request", c.ID).Str("endpoint", c.endpoint).Int64("held_bytes", held).
		Int64("held_by_all_bytes", c.f.SlowReaders.Held()).Msg("forward: caller read slowly")
}
