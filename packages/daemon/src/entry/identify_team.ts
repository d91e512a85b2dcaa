import { createHash } from "node:crypto";
import type { ObjectSet, Team } from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import type { ClientHeaders } from "./read_headers.ts";
import { createRefusal, type Refusal } from "./refusal.ts";

const BEARER_PREFIX = "Bearer ";

/** Finds teams by the digest of an API key; built once per configuration. */
export class TeamDirectory {
  readonly #teams: ReadonlyMap<string, Team>;
  readonly #byKeyDigest = new Map<string, Team>();

  constructor(objects: ObjectSet) {
    this.#teams = objects.teams;
    for (const team of objects.teams.values()) {
      for (const digest of team.apiKeySha256) {
        this.#byKeyDigest.set(digest, team);
      }
    }
  }

  /**
   * The team of a request: by its API key, else by the team header, which is
   * enough only for a team that has no keys.
   */
  identify(headers: ClientHeaders): Result<Team, Refusal> {
    const byKey = this.#findByKey(headers.authorization);
    const named = headers["x-coltsfoot-team"];
    if (byKey && named !== undefined && named !== byKey.name) {
      return err(createTeamRefusal(
        `the API key belongs to team ${byKey.name}, not ${named}; send one of them`,
      ));
    }
    if (byKey) return ok(byKey);
    if (named === undefined) {
      return err(createTeamRefusal(
        "no known API key and no team; send the key as a bearer token or name the team",
      ));
    }
    const team = this.#teams.get(named);
    if (!team) {
      return err(
        createTeamRefusal(`team ${named} is not known; use a published team`),
      );
    }
    if (team.apiKeySha256.length > 0) {
      return err(createTeamRefusal(
        `team ${named} needs its API key; send it as a bearer token`,
      ));
    }
    return ok(team);
  }

  #findByKey(authorization: string | undefined): Team | undefined {
    if (!authorization?.startsWith(BEARER_PREFIX)) return undefined;
    const key = authorization.slice(BEARER_PREFIX.length);
    const digest = createHash("sha256").update(key).digest("hex");
    return this.#byKeyDigest.get(digest);
  }
}

function createTeamRefusal(message: string): Refusal {
  return createRefusal(401, "unknown_team", message, {
    param: "x-coltsfoot-team",
  });
}
