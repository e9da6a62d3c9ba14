package main

import (
	"fmt"
	"strconv"
	"time"
)

const startPatience = 15 * time.Second

// startDeployment starts the machines and the replicas, puts the configuration into force, and waits until the edge machines are
// ready. The returned function stops the replicas.
func startDeployment(p *platform, stores, edges int, o replicaOptions, replicas int) (c *clients, stop func(), err error) {
	return startDeploymentWith(p, stores, edges, o, replicas, func(string, string, bool) {})
}

func startDeploymentWith(p *platform, stores, edges int, o replicaOptions, replicas int, onRun func(replica, id string, began bool)) (c *clients, stop func(), err error) {
	if err := p.start(stores, edges); err != nil {
		return nil, nil, err
	}
	control := p.hosts("store", "control")
	if err := putConfig(control, configuration(), startPatience); err != nil {
		return nil, nil, err
	}
	var list []*replica
	stop = func() {
		for _, r := range list {
			r.stop()
		}
	}
	for i := range replicas {
		r, err := startReplica(o, fmt.Sprintf("i-%08x", 0x7f3a91c2+i), p.address(strconv.Itoa(100+i), "replica"), zone(i), control, p.log, onRun)
		if err != nil {
			stop()
			return nil, nil, err
		}
		list = append(list, r)
	}
	if err := awaitReady(p.hosts("entry", "ready"), startPatience); err != nil {
		stop()
		return nil, nil, err
	}
	time.Sleep(2 * heartbeatInterval) // all hosts know the replicas
	return newClients(p.hosts("entry", "front"), p.log), stop, nil
}
