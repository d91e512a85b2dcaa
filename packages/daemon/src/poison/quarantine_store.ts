import {
  type QuarantineNotice,
  quarantineNoticeSchema,
} from "@coltsfootford/core";
import type { KeyValueClient } from "@coltsfootford/key-value";

const QUARANTINE_KEY_PREFIX = "coltsfoot/quarantine/";

/** The quarantine stored by the platform, for new daemons and operators. */
export class QuarantineStore {
  readonly #keyValue: KeyValueClient;

  constructor(keyValue: KeyValueClient) {
    this.#keyValue = keyValue;
  }

  /** Writes a notice; false if the platform did not confirm the write. */
  async put(notice: QuarantineNotice): Promise<boolean> {
    const key = `${QUARANTINE_KEY_PREFIX}${notice.digest}`;
    const response = await this.#keyValue.put(key, JSON.stringify(notice));
    return response.isOk();
  }

  /** All stored notices, or undefined if the platform did not respond. */
  async list(): Promise<QuarantineNotice[] | undefined> {
    const response = await this.#keyValue.range({
      prefix: QUARANTINE_KEY_PREFIX,
    });
    if (response.isErr()) return undefined;
    return response.value.entries.flatMap((entry) => parseNotice(entry.value));
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
