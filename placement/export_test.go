package placement

// SpeedRatio returns what the board believes of the speed of a target.
func (b *Board) SpeedRatio(target string) float64 { return b.targets[target].speedRatio() }
