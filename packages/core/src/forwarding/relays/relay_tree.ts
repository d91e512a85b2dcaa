/** Daemons to which each daemon relays a message. */
const RELAY_FAN_OUT = 3;

/**
 * The daemons to which `self` relays a message of `origin`. Together the
 * daemons form a tree with `origin` at its root, so each receives the message
 * once where all have the same list.
 */
export function relayRecipients(
  daemons: readonly string[],
  origin: string,
  self: string,
): string[] {
  const names = [...new Set([...daemons, origin, self])].sort();
  const originIndex = names.indexOf(origin);
  const position = (names.indexOf(self) - originIndex + names.length) %
    names.length;
  const first = RELAY_FAN_OUT * position + 1;
  const recipients: string[] = [];
  for (let offset = 0; offset < RELAY_FAN_OUT; offset++) {
    const recipient = first + offset;
    if (recipient >= names.length) break;
    recipients.push(names[(originIndex + recipient) % names.length]!);
  }
  return recipients;
}
