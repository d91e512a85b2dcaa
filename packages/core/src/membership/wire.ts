import { z } from "zod";

/** Method of a heartbeat; a notification. */
export const HEARTBEAT_METHOD = "h";
/** Method that disseminates changes; a notification. */
export const CHANGES_METHOD = "m";
/** Method that pulls records; a call. */
export const PULL_METHOD = "s";

const nameSchema = z.string().min(1).max(128);
const MAX_DELTAS = 50_000;

/** Estimated health of a daemon; a higher number overrides a lower one. */
export const HEALTH = { live: 0, suspect: 1, dead: 2 } as const;

/** Reported condition of an incarnation of a target. */
export const TARGET_CONDITION = { live: 0, leaving: 1 } as const;

const healthSchema = z.union([z.literal(0), z.literal(1), z.literal(2)]);

const conditionSchema = z.union([z.literal(0), z.literal(1)]);

/** A daemon: VM, incarnation, health, 1 if it is leaving, the suspecting VM. */
export const daemonDeltaSchema = z.tuple([
  z.literal("d"),
  nameSchema,
  z.int().nonnegative(),
  healthSchema,
  z.union([z.literal(0), z.literal(1)]),
  nameSchema.optional(),
]);

/** A target: name, incarnation, condition, a stamp that grows with changes. */
export const targetDeltaSchema = z.tuple([
  z.literal("t"),
  nameSchema,
  z.string().max(64),
  conditionSchema,
  z.int().nonnegative(),
]);

/** A value that a daemon attached to itself, with incarnation and version. */
export const attachmentDeltaSchema = z.tuple([
  z.literal("a"),
  nameSchema,
  z.int().nonnegative(),
  z.int().nonnegative(),
  z.string().min(1).max(32),
  z.json(),
]);

/** One change or record of the membership. */
export const deltaSchema = z.union([
  daemonDeltaSchema,
  targetDeltaSchema,
  attachmentDeltaSchema,
]);

const deltasSchema = z.array(deltaSchema).max(MAX_DELTAS);

/** Parameters of a heartbeat: incarnation, a zone, its digest, changes. */
export const heartbeatSchema = z.tuple([
  z.int().nonnegative(),
  nameSchema,
  z.int().nonnegative(),
  deltasSchema,
]);

/** Parameters of a message that disseminates changes. */
export const changesSchema = z.tuple([deltasSchema]);

/** Parameters of a pull: a zone or "" for all, the requester's records. */
export const pullSchema = z.tuple([z.string().max(128), deltasSchema]);

/** Response to a pull. */
export const pullResponseSchema = deltasSchema;

/** Types of the messages, inferred from their schemas. */
export type DaemonDelta = z.infer<typeof daemonDeltaSchema>;
export type TargetDelta = z.infer<typeof targetDeltaSchema>;
export type AttachmentDelta = z.infer<typeof attachmentDeltaSchema>;
export type Delta = z.infer<typeof deltaSchema>;
export type HeartbeatParams = z.infer<typeof heartbeatSchema>;
export type PullParams = z.infer<typeof pullSchema>;
export type Health = z.infer<typeof healthSchema>;
export type TargetCondition = z.infer<typeof conditionSchema>;
/** A value that can be attached: any JSON value. */
export type AttachedValue = z.infer<ReturnType<typeof z.json>>;

/** An outgoing message of the membership state machine. */
export type OutgoingMessage =
  | {
    readonly kind: "notify";
    readonly to: string;
    readonly method: string;
    readonly params: readonly unknown[];
  }
  /** A call of `PULL_METHOD`; its response is passed to the `Membership`. */
  | {
    readonly kind: "pull";
    readonly to: string;
    readonly zone: string;
    readonly params: PullParams;
  }
  /** The connection to `to` is defective and should be reopened. */
  | { readonly kind: "reset"; readonly to: string };
