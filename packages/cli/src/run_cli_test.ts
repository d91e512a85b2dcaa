import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import {
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { VirtualTimerService } from "@coltsfootford/core";
import { EXIT_CODES } from "./cli_error.ts";
import { COMMANDS } from "./commands/index.ts";
import { runCli } from "./run_cli.ts";

let directory: string;

beforeEach(() => {
  directory = mkdtempSync(join(tmpdir(), "coltsfoot-"));
});

afterEach(() => rmSync(directory, { recursive: true }));

async function run(...args: string[]) {
  const printed: string[] = [];
  const errors: string[] = [];
  const exitCode = await runCli(args, {
    timer: new VirtualTimerService(),
    random: () => 0.5,
    createNonce: () => "nonce",
    printLine: (line) => printed.push(line),
    printErrorLine: (line) => errors.push(line),
  });
  return { exitCode, printed: printed.join("\n"), errors: errors.join("\n") };
}

function writeObjects(files: Record<string, string>): string {
  const objects = join(directory, "objects");
  mkdirSync(objects, { recursive: true });
  for (const [name, text] of Object.entries(files)) {
    writeFileSync(join(objects, name), text);
  }
  return objects;
}

describe("coltsfoot", () => {
  it("lists every command and shows examples for each", async () => {
    const tool = await run("--help");
    expect(tool.exitCode).toBe(0);
    for (const { name } of COMMANDS) {
      expect(tool.printed).toContain(name);
      const help = await run(...name.split(" "), "--help");
      expect(help.exitCode).toBe(0);
      expect(help.printed).toContain("Examples:");
    }
  });

  it("creates files that pass the check", async () => {
    const fleet = join(directory, "fleet");
    expect((await run("init", fleet)).exitCode).toBe(0);
    const checked = await run("check", join(fleet, "objects"));
    expect(checked).toMatchObject({ exitCode: 0, errors: "" });
    const again = await run("init", fleet);
    expect(again.exitCode).toBe(EXIT_CODES["invalid-usage"]);
  });

  it("reports file and field of all validation errors, also as JSON", async () => {
    const objects = writeObjects({
      "a.json": '[{"kind":"team","name":"t","shareWeight":-1}]',
      "b.json": '{"kind":"pool","name":"p","model":"gone"}',
      "c.json": "{nonsense",
      ".hidden.json": "{nonsense",
    });
    const { exitCode, errors } = await run("check", objects);
    expect(exitCode).toBe(EXIT_CODES["invalid-objects"]);
    expect(errors).toContain("a.json: [0].shareWeight:");
    expect(errors).toContain("b.json: model: there is no model named gone");
    expect(errors).toContain("c.json: invalid JSON:");
    expect(errors).toContain("has 3 errors");
    const json = JSON.parse((await run("check", objects, "--json")).printed);
    expect(json.error).toMatchObject({ kind: "invalid-objects" });
    expect(json.error.details).toHaveLength(3);
  });

  it.each([
    [["fly"], "there is no command fly"],
    [["check", "--wings"], "Unknown option '--wings'"],
    [["check", "a", "b"], "unexpected argument b"],
    [["diff", "--platform", "nowhere"], "platform.0: Invalid URL"],
    [["status"], "no daemon is configured"],
    [["pull"], "name the new directory"],
    [["pull", "."], ". already exists"],
    [["drain"], "name the target"],
    [["quarantine", "clear"], "name the digest"],
    [["publish", "--base", "x"], "baseRevision must be a whole number"],
    [["schema", "tram"], "there is no kind tram"],
    [["check", "/nowhere"], "the directory /nowhere can't be read"],
  ])("rejects %j", async (args, message) => {
    const { exitCode, errors } = await run(...args);
    expect(exitCode).toBe(EXIT_CODES["invalid-usage"]);
    expect(errors).toContain(message);
    expect(errors).not.toMatch(/\n\s+at /);
  });

  it("reports that the platform can't be reached", async () => {
    const objects = writeObjects({ "a.json": '{"kind":"team","name":"t"}' });
    const { exitCode, errors } = await run(
      "publish",
      objects,
      "--platform",
      "http://127.0.0.1:1",
    );
    expect(exitCode).toBe(EXIT_CODES["platform-unreachable"]);
    expect(errors).toContain("http://127.0.0.1:1");
    expect(() => readFileSync(join(objects, ".published.json"))).toThrow();
  });

  // Guards against a check that fails where only the comparison can't be made.
  it("checks files without a platform to compare them with", async () => {
    const objects = writeObjects({ "a.json": '{"kind":"team","name":"t"}' });
    const unreachable = ["--platform", "http://127.0.0.1:1"];
    for (const options of [[], unreachable]) {
      const checked = await run("check", objects, "--compare", ...options);
      expect(checked).toMatchObject({ exitCode: 0, errors: "" });
      expect(checked.printed).toMatch(/is in order: .*\nnot compared: /);
    }
  });

  it("prints a JSON Schema with descriptions", async () => {
    const schema = JSON.parse((await run("schema", "route")).printed);
    expect(schema.properties.pool.description).toBeDefined();
    expect(schema.required).toEqual(["kind", "name", "protocol", "pool"]);
  });
});
