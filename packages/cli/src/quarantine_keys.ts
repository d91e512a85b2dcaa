/** Prefix of the keys of quarantined requests; their digest follows. */
export const QUARANTINE_PREFIX = "coltsfoot/quarantine/";
