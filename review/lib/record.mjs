/** The record of a case: what was sent, answered and run. */
const MS_PER_S = 1_000;
const startedAtMs = performance.now();

export const lines = [];

export function log(text) {
  const atS = (performance.now() - startedAtMs) / MS_PER_S;
  lines.push(`${atS.toFixed(3).padStart(8)} ${text}`);
}
