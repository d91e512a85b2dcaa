import type { Message } from "./prompt.ts";

/** Text that stands for the prompt of a request nobody here sent. */
const FOREIGN_MESSAGES: readonly Message[] = [
  { role: "user", content: "a request of somebody else" },
];

interface SeenChat {
  readonly chat: string;
  readonly messages: readonly Message[];
}

/** Keeps what the last chats asked, so that their answers can be crossed. */
export class ForeignChats {
  /** The last request of the two chats that came last. */
  #seen: readonly SeenChat[] = [];

  /** Takes note of a request and gives out one of another chat. */
  exchange(chat: string, messages: readonly Message[]): readonly Message[] {
    const others = this.#seen.filter((seen) => seen.chat !== chat);
    const foreign = others.at(-1)?.messages ?? FOREIGN_MESSAGES;
    this.#seen = [...others.slice(-1), { chat, messages }];
    return foreign;
  }
}
