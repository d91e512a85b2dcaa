import type { Message } from "./prompt.ts";

/** The foreign request as long as only one chat has sent requests. */
const DEFAULT_FOREIGN_MESSAGES: readonly Message[] = [
  { role: "user", content: "a request of somebody else" },
];

interface RecentChat {
  readonly chat: string;
  readonly messages: readonly Message[];
}

/** Keeps recent requests of other chats for the fault `crossedAnswers`. */
export class ForeignChats {
  /** The last request of each of the two most recent chats, oldest first. */
  #recentChats: readonly RecentChat[] = [];

  /** Records a request and returns the messages of another chat's request. */
  recordAndGetForeign(
    chat: string,
    messages: readonly Message[],
  ): readonly Message[] {
    const others = this.#recentChats.filter((recent) => recent.chat !== chat);
    const foreign = others.at(-1)?.messages ?? DEFAULT_FOREIGN_MESSAGES;
    this.#recentChats = [...others.slice(-1), { chat, messages }];
    return foreign;
  }
}
