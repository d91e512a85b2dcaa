/** What tells to which request a response belongs. */
export interface ResponseIdentity {
  /** The id that the response names; undefined where it names none. */
  readonly responseId: string | undefined;
  readonly requestId: string;
  /** Whether the request is the first one on its connection. */
  readonly isNewConnection: boolean;
}

/**
 * Whether a rejection belongs to the request. One without an id does on a new
 * connection only: on others, a faulty target may have sent the rejection of an
 * earlier request once more.
 */
export function isOwnRejection(
  { responseId, requestId, isNewConnection }: ResponseIdentity,
): boolean {
  if (responseId === undefined) return isNewConnection;
  return responseId === requestId;
}
