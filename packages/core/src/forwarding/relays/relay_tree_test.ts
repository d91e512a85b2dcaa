import { describe, expect, it } from "@jest/globals";
import { relayRecipients } from "./relay_tree.ts";

describe("relayRecipients", () => {
  it("reaches every daemon once from any origin", () => {
    const daemons = Array.from({ length: 67 }, (_, index) => `vm-${index}`);
    for (const origin of ["vm-0", "vm-31", "vm-66"]) {
      const received = daemons.flatMap((self) =>
        relayRecipients(daemons, origin, self)
      );
      expect([origin, ...received].sort()).toEqual([...daemons].sort());
    }
  });

  it("bounds the messages of one daemon", () => {
    const daemons = Array.from({ length: 2_700 }, (_, index) => `vm-${index}`);
    expect(relayRecipients(daemons, "vm-7", "vm-7")).toHaveLength(3);
  });

  it("has no recipient in a fleet of one", () => {
    expect(relayRecipients([], "vm-1", "vm-1")).toEqual([]);
  });
});
