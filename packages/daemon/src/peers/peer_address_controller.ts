import type { Blackboard, CancelSubscription } from "../blackboard/index.ts";
import { Controller } from "../controllers/index.ts";
import type { PeerAddress } from "./peer_connection.ts";
import type { Peers } from "./peers.ts";

/** Parts of the daemon that the controller uses. */
export interface PeerAddressControllerParts {
  readonly vm: string;
  readonly blackboard: Blackboard;
  readonly peers: Peers;
  /** Daemons of the settings, known before the VM list. */
  readonly seeds: readonly {
    readonly vm: string;
    readonly host: string;
    readonly peerPort: number;
  }[];
  readonly listen: PeerAddress;
}

/**
 * Opens the port for other daemons and keeps their addresses up to date. It
 * reads `daemons` and writes no field.
 */
export class PeerAddressController extends Controller {
  override readonly name = "peer-addresses";
  readonly #parts: PeerAddressControllerParts;
  #cancel: CancelSubscription | undefined;

  constructor(parts: PeerAddressControllerParts) {
    super();
    this.#parts = parts;
  }

  override async start(): Promise<void> {
    const { blackboard, peers, listen } = this.#parts;
    await peers.listen(listen);
    this.#cancel = blackboard.daemons.subscribe(() => this.#update());
    this.#update();
  }

  override async stop(): Promise<void> {
    this.#cancel?.();
    await this.#parts.peers.close();
  }

  override dumpState(): unknown {
    const { peers } = this.#parts;
    return {
      known: peers.knownNames(),
      connected: peers.connectedNames(),
      traffic: peers.traffic(),
    };
  }

  /** Seeds stay known where the VM list does not name them. */
  #update(): void {
    const { vm, blackboard, peers, seeds } = this.#parts;
    const daemons = [...blackboard.daemons.read().values()];
    const wanted = new Map<string, PeerAddress>();
    for (const { vm: name, host, peerPort } of [...seeds, ...daemons]) {
      if (name === vm || peerPort === 0) continue;
      wanted.set(name, { host, port: peerPort });
    }
    for (const name of peers.knownNames()) {
      if (!wanted.has(name)) peers.removePeer(name);
    }
    for (const [name, address] of wanted) peers.setPeer(name, address);
  }
}
