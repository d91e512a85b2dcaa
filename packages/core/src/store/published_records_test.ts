import { beforeEach, describe, expect, it } from "@jest/globals";
import { PublishedRecords } from "./published_records.ts";

let records: PublishedRecords;

beforeEach(() => {
  records = new PublishedRecords();
  records.update(["a", "b"], false);
});

describe("the records in the store", () => {
  it("are deleted where they are missing", () => {
    expect(records.update(["a"], false)).toEqual(["b"]);
  });

  // Guards against an end of the quarantine that nobody wanted.
  it("are not deleted where a restored store has lost them", () => {
    expect(records.update(["a"], true)).toEqual([]);
    expect([...records.keys]).toEqual(["a"]);
  });

  // Guards against a quarantine that an operator ended, and that comes back.
  it("stay deleted where a restored store brings them back", () => {
    records.update(["a"], false);
    expect(records.update(["a", "b"], true)).toEqual([]);
    expect([...records.keys]).toEqual(["a"]);
    expect(records.revived).toEqual(["b"]);
  });

  it("count again once they are wanted again", () => {
    records.update(["a"], false);
    records.update(["a", "b"], true);
    records.readmit("b");
    expect([...records.keys]).toEqual(["a", "b"]);
    expect(records.revived).toEqual([]);
  });
});
