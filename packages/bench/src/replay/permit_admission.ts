import {
  DEFAULT_PERMIT_NODE_OPTIONS,
  type PermitMessage,
  type PermitNodeOptions,
} from "@coltsfootford/core";
import { AdmissionGate, type GateRequest } from "./admission_gate.ts";
import type { FakeDaemon } from "./fake_daemon.ts";
import { countMessageBytes } from "./message_bytes.ts";
import { ReplayNode } from "./replay_node.ts";
import type { World } from "./world.ts";

const SAMPLE_REPORTS = 30;

/** Settings for hundreds of daemons: load reports are only piggybacked. */
export const LARGE_ZONE_PERMIT_NODE_OPTIONS: PermitNodeOptions = {
  ...DEFAULT_PERMIT_NODE_OPTIONS,
  standaloneReportMs: 0,
  ownedTargets: {
    ...DEFAULT_PERMIT_NODE_OPTIONS.ownedTargets,
    poolMean: {
      ...DEFAULT_PERMIT_NODE_OPTIONS.ownedTargets.poolMean,
      sampleReports: SAMPLE_REPORTS,
    },
  },
};

/** Longest random delay before a daemon starts its permit node, in ms. */
const MAX_START_DELAY_MS = 100;

/** Admits by permits that target owners issue through messages. */
export class PermitAdmission extends AdmissionGate {
  override readonly name = "permits";
  readonly #world: World;
  readonly #options: PermitNodeOptions;
  readonly #nodes = new Map<string, ReplayNode>();
  readonly #bytes = new Map<string, number>();
  messages = 0;

  constructor(
    world: World,
    options: PermitNodeOptions = DEFAULT_PERMIT_NODE_OPTIONS,
  ) {
    super();
    this.#world = world;
    this.#options = options;
  }

  /** Creates the permit node of a daemon and starts it after a random delay. */
  addDaemon(daemon: FakeDaemon): void {
    const node = new ReplayNode(
      daemon,
      this.#world,
      this.#options,
      (to, message) => this.#send(daemon, to, message),
    );
    this.#nodes.set(daemon.name, node);
    const delayMs = this.#world.random.between(0, MAX_START_DELAY_MS);
    this.#world.heap.after(delayMs, () => node.start());
  }

  node(daemon: string): ReplayNode | undefined {
    return this.#nodes.get(daemon);
  }

  override requestAdmission(request: GateRequest): void {
    const node = this.#nodes.get(request.daemon.name)!;
    node.requestPermit(request.order, request.waitMs, request.onOutcome);
  }

  override controlBytesOf(daemon: string): number {
    return this.#bytes.get(daemon) ?? 0;
  }

  #send(from: FakeDaemon, to: string, message: PermitMessage): void {
    const peer = this.#world.daemon(to);
    if (!peer) return;
    const bytes = countMessageBytes(message);
    this.messages += 1;
    this.#addBytes(from.name, bytes);
    this.#world.network.deliver(
      `${from.name}>${to}`,
      from.availabilityZone,
      peer.availabilityZone,
      () => {
        if (!peer.isUp) return;
        this.#addBytes(to, bytes);
        peer.run(() => this.#nodes.get(to)?.receive(from.name, message));
      },
    );
  }

  #addBytes(daemon: string, bytes: number): void {
    this.#bytes.set(daemon, (this.#bytes.get(daemon) ?? 0) + bytes);
  }
}
