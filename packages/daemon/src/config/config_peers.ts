import type { StepError } from "@coltsfootford/core";
import type { Result } from "neverthrow";
import type {
  HeadResponse,
  PartRequest,
  PartResponse,
  RevisionMessage,
} from "./config_messages.ts";

/** The properties of another daemon that the configuration depends on. */
export interface ConfigPeer {
  readonly vm: string;
  readonly isOwnZone: boolean;
  /** Whether the daemon is assumed to be live. */
  readonly isLive: boolean;
}

/** Handlers of the messages of other daemons. */
export interface ConfigPeerHandlers {
  onAnnounce(from: string, message: RevisionMessage): void;
  onPoll(from: string, message: RevisionMessage): RevisionMessage;
  onHead(): HeadResponse;
  onParts(request: PartRequest): PartResponse;
}

/** Exchanges messages about the configuration with other daemons. */
export abstract class ConfigPeers {
  /** The known other daemons, in no particular order. */
  abstract list(): readonly ConfigPeer[];

  /** Registers the handlers. Call this once. */
  abstract handle(handlers: ConfigPeerHandlers): void;

  /** Announces a revision to a daemon. The message may be lost. */
  abstract announce(vm: string, message: RevisionMessage): void;

  /** Sends this daemon's revision and returns the peer's revision. */
  abstract poll(
    vm: string,
    message: RevisionMessage,
  ): Promise<Result<RevisionMessage, StepError>>;

  /** Fetches the head that a daemon has applied. */
  abstract getHead(vm: string): Promise<Result<HeadResponse, StepError>>;

  /** Fetches parts from a daemon. */
  abstract getParts(
    vm: string,
    request: PartRequest,
  ): Promise<Result<PartResponse, StepError>>;
}
