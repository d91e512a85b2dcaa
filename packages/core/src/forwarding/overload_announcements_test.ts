import { describe, expect, it } from "@jest/globals";
import { OverloadAnnouncements } from "./overload_announcements.ts";

const LOAD_BOUND = 10;

describe("OverloadAnnouncements", () => {
  it("announces only loads far above the bound", () => {
    const announcements = new OverloadAnnouncements();
    expect(announcements.isNews("t1", 14, LOAD_BOUND, 0)).toBe(false);
    expect(announcements.isNews("t1", 15, LOAD_BOUND, 0)).toBe(true);
  });

  // Guards against as many announcements as responses of a busy target.
  it("announces a target at most once in a period over all daemons", () => {
    const announcements = new OverloadAnnouncements();
    announcements.recordAnnounced("t1", 0);
    expect(announcements.isNews("t1", 20, LOAD_BOUND, 100)).toBe(false);
    expect(announcements.isNews("t2", 20, LOAD_BOUND, 100)).toBe(true);
    expect(announcements.isNews("t1", 20, LOAD_BOUND, 250)).toBe(true);
  });
});
