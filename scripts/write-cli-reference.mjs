/**
 * Writes docs/reference/cli.md from the help of the commands. Run it after a
 * build; a test holds the page and the commands together.
 */
import { writeFileSync } from "node:fs";
import { COMMANDS } from "../packages/cli/dist/commands/index.js";
import { describeCli } from "../packages/cli/dist/describe_cli.js";

writeFileSync("docs/reference/cli.md", describeCli(COMMANDS));
