import type { Result } from "neverthrow";
import type {
  ForwardingConfig,
  StepError,
  TargetRegistration,
} from "@coltsfootford/core";

/** Decodes the records of operators and targets in a platform's store. */
export abstract class StoreRecordCodec {
  /** The key of the newest configuration. */
  abstract readonly configKey: string;
  /** The key prefix of target registrations. */
  abstract readonly registrationPrefix: string;
  /** The key prefix of evacuated availability zones. */
  abstract readonly evacuationPrefix: string;

  abstract decodeConfig(
    value: string,
  ): Result<ForwardingConfig, StepError<"bad-record">>;

  abstract decodeRegistration(
    key: string,
    value: string,
  ): Result<TargetRegistration, StepError<"bad-record">>;

  /** Decodes the availability zone of an evacuation. */
  abstract decodeEvacuation(
    key: string,
  ): Result<string, StepError<"bad-record">>;
}
