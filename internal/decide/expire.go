package decide

// expire refuses queued requests that can't start in time any more although
// they were expected to, such as those queued for an endpoint that just
// failed. Started now, they would answer a caller who has left and take a
// slot from one who has not. The limit is latestStart: the deadline less the
// estimated time to the first token, or less postStartShare if that is more.
func (d *Decider) expire() {
	for d.expiry.Len() > 0 {
		row := d.expiry.rows[0]
		if d.now < row.latestStart {
			return
		}
		d.refuseRow(row, CodeDeadline)
	}
}
