import {
  type QuarantineNotice,
  quarantineNoticeSchema,
} from "@coltsfootford/core";
import type { KeyValueClient } from "@coltsfootford/key-value";

const PREFIX = "coltsfoot/quarantine/";

/** The quarantine that the platform keeps, for new daemons and operators. */
export class QuarantineStore {
  readonly #keyValue: KeyValueClient;

  constructor(keyValue: KeyValueClient) {
    this.#keyValue = keyValue;
  }

  /** Writes a notice; false where the platform did not confirm it. */
  async put(notice: QuarantineNotice): Promise<boolean> {
    const key = `${PREFIX}${notice.digest}`;
    const answer = await this.#keyValue.put(key, JSON.stringify(notice));
    return answer.isOk();
  }

  /** All kept notices, or undefined where the platform did not answer. */
  async list(): Promise<QuarantineNotice[] | undefined> {
    const answer = await this.#keyValue.range({ prefix: PREFIX });
    if (answer.isErr()) return undefined;
    return answer.value.entries.flatMap((entry) => parseNotice(entry.value));
  }
}

function parseNotice(text: string): QuarantineNotice[] {
  try {
    const parsed = quarantineNoticeSchema.safeParse(JSON.parse(text));
    return parsed.success ? [parsed.data] : [];
  } catch {
    return [];
  }
}
