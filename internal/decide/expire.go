package decide

// expire ends requests whose time has run out although they were expected to
// make it: a long queue behind an endpoint that just failed. Started now they
// would answer a caller who has left, and take a slot from one who has not.
// The limit is the deadline less the learned time to the first token.
func (d *Decider) expire() {
	for d.expiry.Len() > 0 {
		row := d.expiry.rows[0]
		if d.now < row.latestStart {
			return
		}
		d.refuseRow(row, CodeDeadline)
	}
}
