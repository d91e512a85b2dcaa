import type { StepError } from "@coltsfootford/core";
import type { Result } from "neverthrow";
import type {
  HeadAnswer,
  PartAnswer,
  PartRequest,
  RevisionMessage,
} from "./config_messages.ts";

/** Another daemon, as far as the configuration needs to know it. */
export interface ConfigPeer {
  readonly vm: string;
  readonly isOwnZone: boolean;
  /** Whether it is thought to be live. */
  readonly isLive: boolean;
}

/** Answers the messages of other daemons. */
export interface ConfigPeerHandlers {
  onAnnounce(from: string, message: RevisionMessage): void;
  onPoll(from: string, message: RevisionMessage): RevisionMessage;
  onHead(): HeadAnswer;
  onParts(request: PartRequest): PartAnswer;
}

/** What the configuration says to other daemons and hears from them. */
export abstract class ConfigPeers {
  /** The other daemons that are known of, in no set order. */
  abstract list(): readonly ConfigPeer[];

  /** Registers the handlers; called once. */
  abstract handle(handlers: ConfigPeerHandlers): void;

  /** Tells a daemon of a set. The message may be lost. */
  abstract announce(vm: string, message: RevisionMessage): void;

  /** Tells the own revision and gets the other's. */
  abstract poll(
    vm: string,
    message: RevisionMessage,
  ): Promise<Result<RevisionMessage, StepError>>;

  /** Gets the head in force at a daemon. */
  abstract getHead(vm: string): Promise<Result<HeadAnswer, StepError>>;

  /** Gets parts from a daemon. */
  abstract getParts(
    vm: string,
    request: PartRequest,
  ): Promise<Result<PartAnswer, StepError>>;
}
