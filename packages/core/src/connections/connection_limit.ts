/** Descriptors of a daemon that are reserved for files. */
export const RESERVED_FILE_DESCRIPTORS = 200;
/**
 * Share of the other descriptors that client connections may use. A request
 * uses a second one for its target, and peers and the store use the rest.
 */
export const CLIENT_DESCRIPTOR_SHARE = 0.45;

/**
 * The number of client connections that a daemon keeps open, or undefined if
 * the number of its descriptors is not known.
 */
export function maxClientConnections(
  maxDescriptors: number | undefined,
): number | undefined {
  if (maxDescriptors === undefined) return undefined;
  const descriptors = maxDescriptors - RESERVED_FILE_DESCRIPTORS;
  return Math.max(1, Math.floor(descriptors * CLIENT_DESCRIPTOR_SHARE));
}
