import type { BodyBytes } from "../buffering/index.ts";
import { digestContent } from "../poison/request_digest.ts";

/** The properties that identify requests of the same content. */
export interface RequestContent {
  readonly method: string;
  readonly path: string;
  readonly body: BodyBytes;
  readonly team: { readonly name: string } | undefined;
}

/** The digest of a request's team and content, the same at every daemon. */
export function digestRequest(
  { method, path, body, team }: RequestContent,
): string {
  return digestContent(`${team?.name ?? ""}\n${method}\n${path}\n`, body);
}
