import type { Message } from "./prompt.ts";

/** Text that stands for the prompt of a request nobody here sent. */
const DEFAULT_FOREIGN_MESSAGES: readonly Message[] = [
  { role: "user", content: "a request of somebody else" },
];

interface RecentChat {
  readonly chat: string;
  readonly messages: readonly Message[];
}

/** Keeps what the last chats asked, so that their answers can be crossed. */
export class ForeignChats {
  /** The last request of the two chats that came last. */
  #recentChats: readonly RecentChat[] = [];

  /** Takes note of a request and gives out one of another chat. */
  recordAndGetForeign(
    chat: string,
    messages: readonly Message[],
  ): readonly Message[] {
    const others = this.#recentChats.filter((seen) => seen.chat !== chat);
    const foreign = others.at(-1)?.messages ?? DEFAULT_FOREIGN_MESSAGES;
    this.#recentChats = [...others.slice(-1), { chat, messages }];
    return foreign;
  }
}
