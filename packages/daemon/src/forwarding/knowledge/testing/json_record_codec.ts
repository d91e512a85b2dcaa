import {
  createStepError,
  type ForwardingConfig,
  type TargetRegistration,
} from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import { StoreRecordCodec } from "../store_record_codec.ts";

/** Decodes records that are the project's own types in JSON. */
export class JsonRecordCodec extends StoreRecordCodec {
  override readonly configKey = "config";
  override readonly registrationPrefix = "targets/";
  override readonly evacuationPrefix = "evacuated/";

  override decodeConfig(value: string) {
    return parse<ForwardingConfig>(this.configKey, value);
  }

  override decodeRegistration(key: string, value: string) {
    return parse<TargetRegistration>(key, value);
  }

  override decodeEvacuation(key: string) {
    return ok(key.slice(this.evacuationPrefix.length));
  }
}

function parse<Value>(
  key: string,
  value: string,
): Result<Value, ReturnType<typeof createStepError<"bad-record">>> {
  try {
    return ok(JSON.parse(value) as Value);
  } catch (cause) {
    return err(createStepError("bad-record", key, (cause as Error).message));
  }
}
