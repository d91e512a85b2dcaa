import {
  CONFIG_HEAD_KEY,
  CONFIG_PART_PREFIX,
  createPublication,
  type FleetObject,
  hash32,
  type Layout,
  type Publication,
  VirtualTimerService,
} from "@coltsfootford/core";
import {
  FakeKeyValue,
  FakeKeyValueStore,
} from "@coltsfootford/key-value/testing";
import { createHash } from "node:crypto";
import { createBlackboard } from "../../blackboard/index.ts";
import { ConfigController } from "../config_controller.ts";
import { FakeConfigNetwork } from "./fake_config_network.ts";

const STEP_MS = 50;

const sha256Hex = (text: string) =>
  createHash("sha256").update(text).digest("hex");

/** One daemon of a `FakeConfigFleet`. */
export interface FakeConfigNode {
  readonly vm: string;
  readonly zone: string;
  readonly keyValue: FakeKeyValue;
  readonly controller: ConfigController;
  readonly events: string[];
  /** The applied configurations, in order. */
  readonly applied: AppliedRevision[];
  revision(): number;
}

/** Identifies a configuration that a daemon applied. */
export interface AppliedRevision {
  readonly revision: number;
  readonly nonce: string;
}

/** Daemons of several zones that share a fake platform and a fake network. */
export class FakeConfigFleet {
  readonly timer = new VirtualTimerService();
  readonly store = new FakeKeyValueStore();
  readonly network = new FakeConfigNetwork(this.timer);
  readonly nodes: FakeConfigNode[] = [];
  readonly #operatorKeyValue = new FakeKeyValue(this.timer, this.store);
  #layout: Layout | undefined;

  create(vm: string, zone: string): FakeConfigNode {
    const keyValue = new FakeKeyValue(this.timer, this.store);
    const blackboard = createBlackboard();
    const events: string[] = [];
    const applied: AppliedRevision[] = [];
    blackboard.config.subscribe(({ revision, nonce }) =>
      applied.push({ revision, nonce })
    );
    let drawCount = 0;
    const controller = new ConfigController({
      vm,
      blackboard,
      keyValue,
      peers: this.network.join(vm, zone),
      timer: this.timer,
      logger: {
        event: (name, fields) =>
          events.push(`${name} ${fields?.["reason"] ?? ""}`),
      },
      random: () => hash32(`${vm}/${drawCount++}`) / 2 ** 32,
    });
    const revision = () => blackboard.config.read().revision;
    const node = { vm, zone, keyValue, controller, events, applied, revision };
    this.nodes.push(node);
    return node;
  }

  async startAll(): Promise<void> {
    const started = this.nodes.map((node) => node.controller.start());
    await this.advanceTime(2_000);
    await Promise.all(started);
  }

  /** Replaces a daemon by a new process of the same name. */
  async restart(vm: string): Promise<void> {
    const index = this.nodes.findIndex((node) => node.vm === vm);
    const [previous] = this.nodes.splice(index, 1);
    if (!previous) return;
    await previous.controller.stop();
    const replacement = this.create(vm, previous.zone);
    replacement.keyValue.setDown(previous.keyValue.faults.isDown);
    const started = replacement.controller.start();
    await this.advanceTime(2_000);
    await started;
  }

  async publish(
    revision: number,
    objects: FleetObject[],
  ): Promise<Publication> {
    const publication = createPublication(
      objects,
      { revision, nonce: `n${revision}`, publishedBy: "t", publishedAtMs: 0 },
      this.#layout,
      sha256Hex,
    );
    this.#layout = publication.head.layout;
    for (const [digest, text] of publication.texts) {
      await this.#operatorKeyValue.put(CONFIG_PART_PREFIX + digest, text);
    }
    await this.#operatorKeyValue.put(
      CONFIG_HEAD_KEY,
      JSON.stringify(publication.head),
    );
    return publication;
  }

  async advanceTime(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      this.timer.advance(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  listOutdated(revision: number): string[] {
    return this.nodes.filter((node) => node.revision() !== revision)
      .map((node) => node.vm);
  }
}
