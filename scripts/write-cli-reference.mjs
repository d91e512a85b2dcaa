/**
 * Writes docs/reference/cli.md from the help texts of the commands. Requires a
 * build. A test checks that the page matches the commands.
 */
import { writeFileSync } from "node:fs";
import { COMMANDS } from "../packages/cli/dist/commands/index.js";
import { describeCli } from "../packages/cli/dist/describe_cli.js";

writeFileSync("docs/reference/cli.md", describeCli(COMMANDS));
