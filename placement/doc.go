// Package placement decides where a request runs, whether it waits on this host, or whether it is
// refused. It does no I/O, starts no goroutines and reads no clock: the time is passed to every
// call.
//
// Each host decides on its own, based on the requests it sent itself, the state that other hosts
// report, and the answers of targets.
//
// A target of a model service is an inference engine. Engines prefill prompts, that is, process
// them before the first event of the answer, and cache prompt prefixes that requests share. A
// prompt has a preferred engine, chosen by rendezvous hashing of its longest shared prefix. Each
// engine has an owner, the host that decides about its slots. The targets of plain services have no
// owners.
package placement
