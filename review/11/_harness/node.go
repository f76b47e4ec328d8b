package main

import (
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// node is a process of the load balancer beside an instance.
type node struct {
	name, zone, region, service string
	addresses                   addresses
	settings, binary, log       string
	command                     *exec.Cmd
	done                        chan struct{}
}

// addresses are those of a node and of the instance beside it.
type addresses struct{ inbound, backend, ready, outbound, controlPlane, metrics string }

// newAddresses returns free addresses on a loopback host.
func newAddresses(host string) (addresses, error) {
	var a addresses
	for _, address := range []*string{&a.inbound, &a.backend, &a.ready, &a.outbound, &a.controlPlane, &a.metrics} {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return a, err
		}
		// All are listened on until the last one is chosen, so that they differ.
		defer listener.Close()
		*address = listener.Addr().String()
	}
	return a, nil
}

// writeSettings writes the settings as the deploy file's template renders them on a small deployment.
func (n *node) writeSettings(folder, storeAddress string, regionByZone map[string]string) error {
	settings, err := json.MarshalIndent(map[string]any{
		"Contract": "platform", "Name": n.name, "Cluster": "eelgrass", "Region": n.region,
		"AvailabilityZone": n.zone, "AvailabilityZones": regionByZone,
		"CallerAddress": n.addresses.outbound, "PeerAddress": n.addresses.inbound,
		"ControlAddress": n.addresses.metrics, "ReadyAddress": n.addresses.ready,
		"AnnounceAddress": n.addresses.controlPlane, "Service": n.service,
		"BackendAddress": n.addresses.backend, "Platform": storeAddress,
		"AnnouncementTTL": "9s", "MemoryMegabytes": 284, "Descriptors": 4100,
		"StopTimeout": "6s", "ColdOvershoot": 1.5, "DrainTimeout": "2.5s",
		"RetryBudget": map[string]any{"Share": 0.2, "Window": "10s", "Slack": 64},
	}, "", "  ")
	if err != nil {
		return err
	}
	n.settings = filepath.Join(folder, n.name+".json")
	n.log = filepath.Join(folder, n.name+".log")
	return os.WriteFile(n.settings, settings, 0o600)
}

func (n *node) start() error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.command = exec.Command(n.binary, "--settings", n.settings)
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	go func() {
		_ = n.command.Wait()
		close(n.done)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (n *node) signal(signal syscall.Signal) { _ = n.command.Process.Signal(signal) }

// end kills the node's process, if it runs, and waits for its end.
func (n *node) end() {
	if n.command == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	select {
	case <-n.done:
	case <-time.After(5 * time.Second):
	}
}
