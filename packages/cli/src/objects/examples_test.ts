import { describe, expect, it } from "@jest/globals";
import { loadObjects } from "./load_objects.ts";

describe("the examples", () => {
  it.each(["batinah", "barandas"])("%s passes the check as one set", (name) => {
    const set = loadObjects(`examples/${name}/objects`)._unsafeUnwrap();
    expect(set.teams.size).toBe(10);
    const routes = [...set.routes.values()];
    expect(routes.some((route) => !route.idempotent)).toBe(true);
    expect(routes.filter((route) => route.protocol === "chat")).toHaveLength(1);
  });

  it("weigh cache reuse against even load as each organisation does", () => {
    const reuseWeightOf = (name: string) =>
      [
        ...loadObjects(`examples/${name}/objects`)._unsafeUnwrap().routes
          .values(),
      ]
        .find((route) => route.protocol === "chat")?.reuseWeight;
    expect(reuseWeightOf("batinah")).toBeGreaterThan(0.5);
    expect(reuseWeightOf("barandas")).toBeLessThan(0.5);
  });
});
