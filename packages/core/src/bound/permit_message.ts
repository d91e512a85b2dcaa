import type { CollectAnswer, CollectRequest } from "./permit.ts";
import type { PermitAnswer, PermitAsk } from "./permit.ts";
import type { PermitExtras } from "./permit_codec.ts";

/** What daemons say to one another about permits. */
export type PermitMessage =
  | {
    readonly kind: "ask";
    readonly ask: PermitAsk;
    readonly extras: PermitExtras;
  }
  | {
    readonly kind: "answer";
    readonly answer: PermitAnswer;
    readonly extras: PermitExtras;
  }
  | { readonly kind: "returns"; readonly extras: PermitExtras }
  | { readonly kind: "collect"; readonly request: CollectRequest }
  | { readonly kind: "collected"; readonly answer: CollectAnswer }
  | {
    readonly kind: "adopt";
    readonly target: string;
    readonly askIds: readonly number[];
  };
