/** Formats a count and its noun: `1 change`, `2 changes`. */
export function formatCount(count: number, noun: string): string {
  return count === 1 ? `1 ${noun}` : `${count} ${noun}s`;
}
