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
  /** What was put in force, in order. */
  readonly applied: AppliedMark[];
  revision(): number;
}

/** Marks a set that a daemon put in force. */
export interface AppliedMark {
  readonly revision: number;
  readonly nonce: string;
}

/** Daemons of several zones over one fake platform and one fake network. */
export class FakeConfigFleet {
  readonly timer = new VirtualTimerService();
  readonly store = new FakeKeyValueStore();
  readonly network = new FakeConfigNetwork(this.timer);
  readonly nodes: FakeConfigNode[] = [];
  readonly #operator = new FakeKeyValue(this.timer, this.store);
  #layout: Layout | undefined;

  create(vm: string, zone: string): FakeConfigNode {
    const keyValue = new FakeKeyValue(this.timer, this.store);
    const blackboard = createBlackboard();
    const events: string[] = [];
    const applied: AppliedMark[] = [];
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
    await this.pass(2_000);
    await Promise.all(started);
  }

  /** Puts a new process in the place of a daemon. */
  async restart(vm: string): Promise<void> {
    const index = this.nodes.findIndex((node) => node.vm === vm);
    const [old] = this.nodes.splice(index, 1);
    if (!old) return;
    await old.controller.stop();
    const fresh = this.create(vm, old.zone);
    fresh.keyValue.setDown(old.keyValue.faults.isDown);
    const started = fresh.controller.start();
    await this.pass(2_000);
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
      await this.#operator.put(CONFIG_PART_PREFIX + digest, text);
    }
    await this.#operator.put(CONFIG_HEAD_KEY, JSON.stringify(publication.head));
    return publication;
  }

  async pass(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      this.timer.advance(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  behind(revision: number): string[] {
    return this.nodes.filter((node) => node.revision() !== revision)
      .map((node) => node.vm);
  }
}
