/** Writes docs/reference/events.md from the daemon's event catalogue. */
import { writeFileSync } from "node:fs";
import { EVENTS } from "../packages/daemon/dist/log/events.js";

const PAGE_HEADER = `---
title: Event catalogue
description: Every numbered event in the daemon's log, made by scripts/write-event-catalogue.mjs.
---

Each line of the log is JSON and carries \`event\` (the number) and \`eventName\`.
A number is never used again for another meaning.

| Number | Name | Level | Text |
| ------ | ---- | ----- | ---- |
`;

const rows = Object.entries(EVENTS).map(([name, { number, level, text }]) =>
  `| ${number} | \`${name}\` | ${level} | ${text} |\n`
);
writeFileSync("docs/reference/events.md", PAGE_HEADER + rows.join(""));
