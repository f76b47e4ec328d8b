package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// node is a process of the system beside one instance.
type node struct {
	name, service, zone string
	// outbound, inbound, ready, control and metrics are its addresses, instance that of the instance beside it.
	outbound, inbound, ready, control, metrics, instance string

	// settings is the path of its settings file.
	settings string
	command  *exec.Cmd
	ended    chan struct{}
}

// startNode starts a node of the service with the settings that the deploy file makes of a small deployment.
func (p *play) startNode(service, zone string) (*node, error) {
	n := &node{name: fmt.Sprintf("sidecar-%s-%d", zone, len(p.nodes)+1), service: service, zone: zone}
	for _, address := range []*string{&n.outbound, &n.inbound, &n.ready, &n.control, &n.metrics, &n.instance} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	settings, _ := json.MarshalIndent(map[string]any{
		"Contract": "platform", "Name": n.name, "Cluster": "eelgrass", "Region": "almaty", "AvailabilityZone": zone,
		"AvailabilityZones": map[string]string{"almaty-a": "almaty", "almaty-b": "almaty"},
		"CallerAddress":     n.outbound, "PeerAddress": n.inbound, "ControlAddress": n.metrics, "ReadyAddress": n.ready,
		"AnnounceAddress": n.control, "Service": service, "BackendAddress": n.instance, "Platform": p.store.address,
		"AnnouncementTTL": "9s", "StopTimeout": "6s", "ColdOvershoot": 1.5, "DrainTimeout": "2.5s",
		"RetryBudget": map[string]any{"Share": 0.2, "Window": "10s", "Slack": 64},
	}, "", "  ")
	path := filepath.Join(p.dir, n.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, err
	}
	n.settings = path
	if err := p.launch(n); err != nil {
		return nil, err
	}
	p.nodes = append(p.nodes, n)
	p.note("node %s of service %s started: clients %s, instance %s", n.name, service, n.outbound, n.instance)
	return n, nil
}

// launch starts the process of a node, which has none or whose last one has ended.
func (p *play) launch(n *node) error {
	p.launching.Lock()
	defer p.launching.Unlock()
	if p.ending {
		return errors.New("the nodes are ended")
	}
	log, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command, ended := exec.Command("target/eelgrassd", "--settings", n.settings), make(chan struct{})
	command.Stdout, command.Stderr = log, log

	if err := command.Start(); err != nil {
		return err
	}
	n.command, n.ended = command, ended
	go func() {
		err := command.Wait()
		p.note("node %s ended: %v", n.name, err)
		close(ended)
	}()
	return nil
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// awaitReady waits until the node is ready for clients.
func (n *node) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for range 200 {
		response, err := client.Get("http://" + n.ready + wire.Paths.Readiness)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("node %s is not ready", n.name)
}

func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// endNodes ends all nodes that the play started.
func (p *play) endNodes() {
	p.launching.Lock()
	p.ending = true
	p.launching.Unlock()
	for _, n := range p.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range p.nodes {
		<-n.ended
	}
}
