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

  // Guards against a flood at the start of a fleet, where each daemon knows few
  // loads and takes the mean for lower than it is.
  it("limits the announcements of all daemons", () => {
    const announcements = new OverloadAnnouncements();
    for (const target of ["t1", "t2", "t3", "t4"]) {
      expect(announcements.isNews(target, 20, LOAD_BOUND, 0)).toBe(true);
      announcements.recordAnnounced(target, 0);
    }
    expect(announcements.isNews("t5", 20, LOAD_BOUND, 900)).toBe(false);
    expect(announcements.isNews("t5", 20, LOAD_BOUND, 1_000)).toBe(true);
  });
});
