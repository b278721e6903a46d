package main

// world is a small deployment.
type world struct {
	store    *store
	gateways []*gateway
}

// newWorld starts a store and a number of processes, with some settings other than those of guild-tint, and waits until they are ready.
func newWorld(gateways int, settings map[string]any) *world {
	w := &world{store: newStore("127.0.9.1:0")}
	w.store.put("op", "config", config(7, []string{teamKey, "key-of-team1-0002"}))
	zones := []string{"z-a", "z-b", "z-c"}
	for n := range gateways {
		g := newGateway(n, zones[n%3], w.store.address)
		for name, value := range settings {
			g.settings[name] = value
		}
		g.start()
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		g.awaitReady()
	}
	return w
}
