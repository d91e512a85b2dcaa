/**
 * Writes docs/reference/objects.md from the schemas of the objects. Requires a
 * build. A test checks that the page matches the schemas.
 */
import { writeFileSync } from "node:fs";
import { describeObjects } from "../packages/cli/dist/objects/index.js";

writeFileSync("docs/reference/objects.md", describeObjects());
