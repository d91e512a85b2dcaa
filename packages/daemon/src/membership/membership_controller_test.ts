import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "@jest/globals";
import { SystemTimerService, type Vm } from "@coltsfootford/key-value";
import { type Blackboard, createBlackboard } from "../blackboard/index.ts";
import type { Controller } from "../controllers/index.ts";
import { PeerAddressController, Peers } from "../peers/index.ts";
import { MembershipController } from "./membership_controller.ts";
import { TargetHealthController } from "./target_health_controller.ts";

const HOST = "127.0.0.1";
const KEYS = [{ id: "k", secretHex: "ab".repeat(16) }];
const LOGGER = { event: () => {} };

interface Node {
  readonly vm: string;
  readonly blackboard: Blackboard;
  readonly membership: MembershipController;
  readonly controllers: readonly Controller[];
  readonly lifecycle: { write(phase: "draining"): void };
}

const cleanups: (() => Promise<void>)[] = [];

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

async function startTarget(load: { leaving: boolean }): Promise<Server> {
  const server = createServer((_, response) => {
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify({
      incarnation: "run-1",
      running_requests: 2,
      waiting_requests: 0,
      running_tokens: 10,
      leaving: load.leaving,
    }));
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  cleanups.push(async () => {
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  });
  return server;
}

function createNode(vm: Vm, vms: readonly Vm[]): Node {
  const timer = new SystemTimerService();
  const blackboard = createBlackboard();
  blackboard.vmList.claimWriter("test").write(vms);
  const peers = new Peers({ vm: vm.name, timer, keys: KEYS });
  const { availabilityZone, name } = vm;
  const membership = new MembershipController({
    vm: name,
    availabilityZone,
    blackboard,
    peers,
    seeds: [],
    timer,
    logger: LOGGER,
  });
  const controllers = [
    new PeerAddressController({
      vm: name,
      blackboard,
      peers,
      seeds: [],
      listen: { host: HOST, port: vm.peerPort! },
    }),
    membership,
    new TargetHealthController({
      vm: name,
      blackboard,
      membership,
      peers,
      timer,
    }),
  ];
  const lifecycle = blackboard.lifecycle.claimWriter("test");
  return { vm: name, blackboard, membership, controllers, lifecycle };
}

async function startFleet(targets: readonly Vm[]): Promise<Node[]> {
  const daemons: Vm[] = [];
  for (let i = 0; i < 4; i++) {
    daemons.push({
      name: `entry-${i}`,
      role: "daemon",
      availabilityZone: `zone-${i % 2}`,
      host: HOST,
      port: 0,
      peerPort: await freePort(),
      state: "live",
    });
  }
  const vms = [...daemons, ...targets];
  const nodes = daemons.map((daemon) => createNode(daemon, vms));
  cleanups.push(async () => {
    for (const node of nodes) await stopNode(node);
  });
  await Promise.all(nodes.map(async (node) => {
    for (const controller of node.controllers) await controller.start();
  }));
  return nodes;
}

async function stopNode(node: Node): Promise<void> {
  for (const controller of node.controllers) await controller.stop();
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 10));
}

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

describe("MembershipController", () => {
  it("publishes live and leaving daemons and the owner of each target", async () => {
    const load = { leaving: false };
    const server = await startTarget(load);
    const { port } = server.address() as AddressInfo;
    const targets = Array.from({ length: 6 }, (_, i): Vm => ({
      name: `target-${i}`,
      role: "target",
      availabilityZone: `zone-${i % 2}`,
      pool: "pool",
      host: HOST,
      port,
      state: "live",
    }));
    const nodes = await startFleet(targets);
    const hasState = (node: Node, vm: string, state: string) =>
      node.blackboard.daemons.read().get(vm)?.state === state;
    await until(() =>
      nodes.every((node) =>
        nodes.every((other) => hasState(node, other.vm, "live"))
      )
    );
    const owners = nodes.map((node) =>
      JSON.stringify([...node.blackboard.owners.read()].sort())
    );
    expect(new Set(owners).size).toBe(1);
    const reported = nodes.flatMap((
      node,
    ) => [...node.blackboard.loadReports.read().keys()]);
    await until(() =>
      nodes.flatMap((node) => [...node.blackboard.loadReports.read().keys()])
        .length === targets.length
    );
    expect(new Set(reported).size).toBe(reported.length);

    nodes[0]!.membership.attach("l", [1, 2]);
    await until(() =>
      nodes.every((node) =>
        JSON.stringify(node.membership.attached("entry-0", "l")) === "[1,2]"
      )
    );
    load.leaving = true;
    await until(() =>
      nodes.every((node) =>
        [...node.blackboard.targets.read().values()]
          .every((target) => target.state === "leaving")
      )
    );

    nodes[1]!.lifecycle.write("draining");
    await until(() =>
      nodes.every((node) => hasState(node, "entry-1", "leaving"))
    );
    const ownsNothing = (node: Node) =>
      [...node.blackboard.owners.read().values()]
        .every((owner) => owner.vm !== "entry-1");
    expect(nodes.every(ownsNothing)).toBe(true);
    expect(nodes[1]!.membership.isMandateValid()).toBe(false);

    await stopNode(nodes[2]!);
    const remaining = nodes.filter((_, i) => i !== 2);
    await until(() =>
      remaining.every((node) => hasState(node, "entry-2", "dead"))
    );
  });
});
