import { createHash } from "node:crypto";
import type { ObjectSet, Team } from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import type { ClientHeaders } from "./read_headers.ts";
import { createRequestError, type RequestError } from "./request_error.ts";

const BEARER_PREFIX = "Bearer ";

/** Indexes teams by API key digest; built once per configuration. */
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
   * Identifies the team by the API key or else by the team header. The header
   * alone suffices only for a team without API keys.
   */
  identify(headers: ClientHeaders): Result<Team, RequestError> {
    const teamByKey = this.#findByKey(headers.authorization);
    const teamName = headers["x-coltsfoot-team"];
    if (teamByKey && teamName !== undefined && teamName !== teamByKey.name) {
      return err(createTeamError(
        `the API key belongs to team ${teamByKey.name}, not ${teamName}; send one of them`,
      ));
    }
    if (teamByKey) return ok(teamByKey);
    if (teamName === undefined) {
      return err(createTeamError(
        "no known API key and no team; send the key as a bearer token or name the team",
      ));
    }
    const team = this.#teams.get(teamName);
    if (!team) {
      return err(
        createTeamError(`team ${teamName} is not known; use a published team`),
      );
    }
    if (team.apiKeySha256.length > 0) {
      return err(createTeamError(
        `team ${teamName} needs its API key; send it as a bearer token`,
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

function createTeamError(message: string): RequestError {
  return createRequestError(401, "unknown_team", message, {
    param: "x-coltsfoot-team",
  });
}
