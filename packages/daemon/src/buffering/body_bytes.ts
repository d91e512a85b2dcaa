/** A body in memory that is divided into pieces. */
export interface BodyPieces {
  readonly length: number;
  readonly pieces: readonly Buffer[];
}

/** A body in memory, in one piece or in several. */
export type BodyBytes = Buffer | BodyPieces;

/** The pieces of a body; an empty body has none. */
export function bodyPieces(body: BodyBytes): readonly Buffer[] {
  if (!Buffer.isBuffer(body)) return body.pieces;
  return body.length === 0 ? [] : [body];
}
