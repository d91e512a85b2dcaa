import type { CollectRequest, CollectResponse } from "./permit.ts";
import type { PermitRequest, PermitResponse } from "./permit.ts";
import type { PermitExtras } from "./permit_codec.ts";

/** A message between daemons about permits. */
export type PermitMessage =
  | {
    readonly kind: "ask";
    readonly request: PermitRequest;
    readonly extras: PermitExtras;
  }
  | {
    readonly kind: "answer";
    readonly response: PermitResponse;
    readonly extras: PermitExtras;
  }
  | { readonly kind: "returns"; readonly extras: PermitExtras }
  | { readonly kind: "collect"; readonly request: CollectRequest }
  | { readonly kind: "collected"; readonly response: CollectResponse }
  | {
    readonly kind: "adopt";
    readonly target: string;
    readonly permitIds: readonly number[];
  };
