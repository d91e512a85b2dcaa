const ZONES = 4;
const IN_ZONE_DELAY_MS = 0.2;
const CROSS_ZONE_DELAY_MS = 3.9;

/** The availability zone of a daemon or target. */
export function zoneOf(index: number): string {
  return `zone-${index % ZONES}`;
}

/** Time of a message one way, in ms. */
export function delayBetween(from: string, to: string): number {
  return from === to ? IN_ZONE_DELAY_MS : CROSS_ZONE_DELAY_MS;
}
