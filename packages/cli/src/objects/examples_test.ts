import { describe, expect, it } from "@jest/globals";
import { loadObjects } from "./load_objects.ts";

describe("the examples", () => {
  it.each(["batinah", "barandas"])("%s checks as a whole", (name) => {
    const set = loadObjects(`examples/${name}/objects`)._unsafeUnwrap();
    expect(set.teams.size).toBe(10);
    const routes = [...set.routes.values()];
    expect(routes.some((route) => !route.idempotent)).toBe(true);
    expect(routes.filter((route) => route.protocol === "chat")).toHaveLength(1);
  });

  it("weigh reuse and even load as each organisation does", () => {
    const weightOf = (name: string) =>
      [
        ...loadObjects(`examples/${name}/objects`)._unsafeUnwrap().routes
          .values(),
      ]
        .find((route) => route.protocol === "chat")?.reuseWeight;
    expect(weightOf("batinah")).toBeGreaterThan(0.5);
    expect(weightOf("barandas")).toBeLessThan(0.5);
  });
});
