import type { Blackboard, CancelSubscription } from "../blackboard/index.ts";
import { Controller } from "../controllers/index.ts";
import type { PeerAddress } from "./peer_connection.ts";
import type { Peers } from "./peers.ts";

/** The dependencies of a `PeerAddressController`. */
export interface PeerAddressControllerDependencies {
  readonly vm: string;
  readonly blackboard: Blackboard;
  readonly peers: Peers;
  /** Daemons from the settings; available before the VM list. */
  readonly seeds: readonly {
    readonly vm: string;
    readonly host: string;
    readonly peerPort: number;
  }[];
  readonly listen: PeerAddress;
}

/**
 * Opens the port for other daemons and updates the addresses of the peers. The
 * controller reads `daemons` and writes no field.
 */
export class PeerAddressController extends Controller {
  override readonly name = "peer-addresses";
  readonly #dependencies: PeerAddressControllerDependencies;
  #cancel: CancelSubscription | undefined;

  constructor(dependencies: PeerAddressControllerDependencies) {
    super();
    this.#dependencies = dependencies;
  }

  override async start(): Promise<void> {
    const { blackboard, peers, listen } = this.#dependencies;
    await peers.listen(listen);
    this.#cancel = blackboard.daemons.subscribe(() => this.#update());
    this.#update();
  }

  override async stop(): Promise<void> {
    this.#cancel?.();
    await this.#dependencies.peers.close();
  }

  override dumpState(): unknown {
    const { peers } = this.#dependencies;
    return {
      known: peers.knownNames(),
      connected: peers.connectedNames(),
      traffic: peers.traffic(),
    };
  }

  /** Updates the addresses; seeds that the VM list does not name remain. */
  #update(): void {
    const { vm, blackboard, peers, seeds } = this.#dependencies;
    const daemons = [...blackboard.daemons.read().values()];
    const addresses = new Map<string, PeerAddress>();
    for (const { vm: name, host, peerPort } of [...seeds, ...daemons]) {
      if (name === vm || peerPort === 0) continue;
      addresses.set(name, { host, port: peerPort });
    }
    for (const name of peers.knownNames()) {
      if (!addresses.has(name)) peers.removePeer(name);
    }
    for (const [name, address] of addresses) peers.setPeer(name, address);
  }
}
