/**
 * Writes docs/reference/objects.md from the schemas of the objects. Run it
 * after a build; a test holds the page and the schemas together.
 */
import { writeFileSync } from "node:fs";
import { describeObjects } from "../packages/cli/dist/objects/index.js";

writeFileSync("docs/reference/objects.md", describeObjects());
