import type { CollectAnswer, CollectRequest } from "./permit.ts";
import type { PermitRequest, PermitResponse } from "./permit.ts";
import type { PermitExtras } from "./permit_codec.ts";

/** A message between daemons about permits. */
export type PermitMessage =
  | {
    readonly kind: "ask";
    readonly ask: PermitRequest;
    readonly extras: PermitExtras;
  }
  | {
    readonly kind: "answer";
    readonly answer: PermitResponse;
    readonly extras: PermitExtras;
  }
  | { readonly kind: "returns"; readonly extras: PermitExtras }
  | { readonly kind: "collect"; readonly request: CollectRequest }
  | { readonly kind: "collected"; readonly answer: CollectAnswer }
  | {
    readonly kind: "adopt";
    readonly target: string;
    readonly permitIds: readonly number[];
  };
