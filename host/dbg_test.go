package host_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cassiachute/cassiachute/dispatch"
)

func TestDbg(t *testing.T) {
	c := newCrowd(1, dispatch.FairPolicy())
	for n := range crews {
		c.trickle(fmt.Sprintf("crew%d", n), 7)
	}
	c.run(5 * time.Second)
	c.backlog("night", dispatch.ClassBulk, 40, 160, c.nodes, 27)
	c.backlog("rush", dispatch.ClassNormal, 10, 60, c.nodes[:1], 60)
	for i := 0; i < 60; i++ {
		c.run(100 * time.Millisecond)
		fmt.Printf("%4.1f D=%6.0f ", float64(i)/10, c.service2("night")-c.service2("rush"))
		for _, n := range c.nodes {
			for _, s := range n.Status(c.now) {
				fmt.Printf("| %d/%d ", s.Used, s.Slots)
				for _, tm := range s.Teams {
					if tm.Team == c.teams["night"] {
						fmt.Printf("N v%.0f w%d r%d ", tm.Virtual, tm.Waiting, tm.Running)
					}
					if tm.Team == c.teams["rush"] {
						fmt.Printf("R v%.0f w%d r%d ", tm.Virtual, tm.Waiting, tm.Running)
					}
				}
			}
		}
		fmt.Println()
	}
}
