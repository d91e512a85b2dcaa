import type { Result } from "neverthrow";
import type {
  ForwardingConfig,
  StepError,
  TargetRegistration,
} from "@coltsfootford/core";

/** Reads what operators and targets write into the store of one platform. */
export abstract class KnowledgeCodec {
  /** The key of the newest configuration. */
  abstract readonly configKey: string;
  /** The prefix of the registrations of targets. */
  abstract readonly registrationPrefix: string;

  abstract decodeConfig(
    value: string,
  ): Result<ForwardingConfig, StepError<"bad-record">>;

  abstract decodeRegistration(
    key: string,
    value: string,
  ): Result<TargetRegistration, StepError<"bad-record">>;
}
