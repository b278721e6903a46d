package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// must ends the program if the case can't run.
func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		cleanUp()
		os.Exit(2)
	}
}

// started are the processes to end when the case is over.
var started []*gateway

// scratch is the folder for settings files and logs.
var scratch string

// cleanUp ends all processes that the case started and removes its files.
func cleanUp() {
	for _, g := range started {
		if g.cmd != nil {
			_ = g.cmd.Process.Signal(syscall.SIGCONT)
			_ = g.cmd.Process.Kill()
			<-g.exited
		}
	}
	if scratch != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(scratch)
	}
}

// gateway is one process of the system.
type gateway struct {
	name, zone string
	front      string
	ready      string
	metrics    string
	settings   map[string]any
	file       string
	cmd        *exec.Cmd
	exited     chan struct{}
}

// freePort returns a free port of a loopback address.
func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// newGateway prepares the settings of a process. number tells the processes of a case apart.
func newGateway(number int, zone, storeAddress string) *gateway {
	if scratch == "" {
		dir, err := os.MkdirTemp("", "review2-")
		must(err)
		scratch = dir
	}
	ip := fmt.Sprintf("127.0.%d.1", 10+number)
	g := &gateway{name: fmt.Sprintf("edge-%d", number), zone: zone, front: freePort(ip), ready: freePort(ip), metrics: freePort(ip)}
	g.settings = map[string]any{
		"name": g.name, "place": zone, "listen": g.front, "ready": g.ready, "peer": freePort(ip), "metrics": g.metrics,
		"store": storeAddress, "seeds": []string{}, "memory": "284", "cores": "1", "grace": "8s",
		"regions": map[string]string{"z-a": "r", "z-b": "r", "z-c": "r"}, "revoke": "5000ms", "heartbeat": "1200ms",
		"window": "10s", "ratio": "0.2", "fixed": "54",
	}
	g.file = filepath.Join(scratch, g.name+".json")
	started = append(started, g)
	return g
}

// writeSettings writes the settings file.
func (g *gateway) writeSettings() {
	body, err := json.Marshal(g.settings)
	must(err)
	must(os.WriteFile(g.file, body, 0o600))
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() {
	g.writeSettings()
	log, err := os.OpenFile(filepath.Join(scratch, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	g.cmd = exec.Command(gatewayBinary())
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + scratch, "CASSIACHUTE_CONFIG=" + g.file}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	must(g.cmd.Start())
	g.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) { _ = cmd.Wait(); close(exited) }(g.cmd, g.exited)
}

// gatewayBinary returns the path of the program that the deploy file builds.
func gatewayBinary() string {
	if path := os.Getenv("GATEWAY"); path != "" {
		return path
	}
	return "target/cassia-gateway"
}

// signal sends a signal to the process.
func (g *gateway) signal(s os.Signal) { must(g.cmd.Process.Signal(s)) }

// kill kills the process and waits for its end.
func (g *gateway) kill() {
	_ = g.cmd.Process.Kill()
	<-g.exited
}

// alive returns whether the process still runs.
func (g *gateway) alive() bool {
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// isReady returns whether the process reports itself ready.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + g.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until the process is ready.
func (g *gateway) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.isReady() {
			return
		}
	}
	must(fmt.Errorf("%s is not ready", g.name))
}
