import type { Command } from "./command.ts";
import { describeCommand, describeTool } from "./help.ts";

const HEAD = `---
title: coltsfoot
description: The operators' command line, made from its help by scripts/write-cli-reference.mjs.
---

\`coltsfoot\` reads \`coltsfoot.json\` in the current directory, or the file that
\`--settings\` names:

| Field       | Default     | Meaning                                            |
| ----------- | ----------- | -------------------------------------------------- |
| \`platform\`  | \`[]\`        | Base addresses of the key-value service.           |
| \`daemons\`   | \`[]\`        | Addresses of the daemons' admin ports.             |
| \`objects\`   | \`"objects"\` | The directory with the object files.               |
| \`operator\`  | user's name | The name under which publications are recorded.    |
`;

/** Generates the reference page of the tool in Markdown. */
export function describeCli(commands: readonly Command[]): string {
  const sections = commands.map((command) =>
    [`## ${command.name}`, "", ...codeBlock(describeCommand(command))].join(
      "\n",
    )
  );
  const tool = codeBlock(describeTool(commands)).join("\n");
  return `${HEAD}\n${tool}\n\n${sections.join("\n\n")}\n`;
}

function codeBlock(lines: readonly string[]): string[] {
  return ["```text", ...lines, "```"];
}
