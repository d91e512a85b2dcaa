import {
  type MessageCrashReport,
  type PoisonDecision,
  PromptPartLedger,
  type QuarantinedParts,
  selectSuspects,
  type SuspectPrompt,
  type TimerService,
} from "@coltsfootford/core";
import type { Logger } from "../log/index.ts";
import type { PoisonPeers } from "./poison_peers.ts";

/** Dependencies of a `MessageQuarantine`. */
export interface MessageQuarantineDependencies {
  readonly vm: string;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly peers: PoisonPeers;
}

/**
 * Finds messages that crash the targets which read them, although no two chats
 * with them are alike. A chat is known here by the digests of its messages other
 * than the last one. Daemons tell one another of crashes, and each decides by the
 * same ledger.
 */
export class MessageQuarantine {
  readonly #dependencies: MessageQuarantineDependencies;
  readonly #ledger = new PromptPartLedger();

  constructor(dependencies: MessageQuarantineDependencies) {
    this.#dependencies = dependencies;
    dependencies.peers.handleMessages({
      onCrash: (report) => this.#onCrash(report),
      onSound: (proof) => this.#ledger.recordProof(proof, this.#nowMs()),
      onQuarantine: (quarantined) => this.#onQuarantine(quarantined),
    });
  }

  classify(messages: readonly string[]): PoisonDecision {
    if (messages.length === 0) return "clear";
    const nowMs = this.#nowMs();
    if (this.#ledger.findQuarantine(messages, nowMs)) return "quarantined";
    return this.#ledger.isSuspect(messages, nowMs) ? "suspect" : "clear";
  }

  /** The messages that no response proved sound within the last seconds. */
  listUnproven(messages: readonly string[]): string[] {
    const nowMs = this.#nowMs();
    return messages.filter((message) =>
      !this.#ledger.isProvenSound(message, nowMs)
    );
  }

  /** Resolves once the live peers are notified, or after a short timeout. */
  async reportCrash(
    crashId: string,
    interrupted: readonly SuspectPrompt[],
  ): Promise<void> {
    const suspects = selectSuspects(
      interrupted.filter(({ parts }) => parts.length > 0),
    );
    if (suspects.length === 0) return;
    const { vm: reporter, peers } = this.#dependencies;
    const report = { target: crashId, reporter, suspects };
    this.#recordCrash(report);
    await peers.broadcastMessageCrash(report);
  }

  /** Records that a chat with the messages got a complete response. */
  recordSound(messages: readonly string[]): void {
    const { peers } = this.#dependencies;
    for (const proof of this.#ledger.recordSound(messages, this.#nowMs())) {
      void peers.broadcastSoundMessage(proof);
    }
  }

  list(): readonly QuarantinedParts[] {
    return this.#ledger.quarantined(this.#nowMs());
  }

  #nowMs(): number {
    return this.#dependencies.timer.nowMs();
  }

  #recordCrash(report: MessageCrashReport): void {
    const quarantined = this.#ledger.recordCrash(report, this.#nowMs());
    if (quarantined) this.#logQuarantine(quarantined);
  }

  /** A reporter that started after a quarantine does not know of it. */
  #onCrash(report: MessageCrashReport): void {
    for (const { parts } of report.suspects) {
      const known = this.#ledger.findQuarantine(parts, this.#nowMs());
      if (!known) continue;
      const { parts: messages, crashes } = known;
      this.#dependencies.peers.notifyMessageQuarantine(report.reporter, {
        parts: [...messages],
        crashes: [...crashes],
      });
    }
    this.#recordCrash(report);
  }

  #onQuarantine(quarantined: QuarantinedParts): void {
    const proofs = this.#ledger.recordQuarantine(quarantined, this.#nowMs());
    if (proofs.length === 0) this.#logQuarantine(quarantined);
  }

  #logQuarantine({ parts, crashes }: QuarantinedParts): void {
    this.#dependencies.logger.event("partQuarantined", {
      parts,
      crashes: crashes.length,
    });
  }
}
