/** Prefix of the keys of quarantined requests, followed by the digest. */
export const QUARANTINE_PREFIX = "coltsfoot/quarantine/";
