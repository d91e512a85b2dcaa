import { z } from "zod";
import { engineOptionsSchema } from "../engine/index.ts";
import { platformOptionsSchema } from "../platform/index.ts";
import { serviceOptionsSchema } from "../service/index.ts";
import { vmListOptionsSchema } from "../vm_list/index.ts";
import { weightStoreOptionsSchema } from "../weights/index.ts";

/** The address on which the control port listens. */
export const controlOptionsSchema = z.strictObject({
  host: z.string().default("127.0.0.1"),
  port: z.int().min(0).max(65_535).default(0),
});

/** The settings file of a process with one or more stand-ins. */
export const processSettingsSchema = z.strictObject({
  control: controlOptionsSchema.prefault({}),
  engines: z.array(engineOptionsSchema).default([]),
  services: z.array(serviceOptionsSchema).default([]),
  platforms: z.array(platformOptionsSchema).default([]),
  vmLists: z.array(vmListOptionsSchema).default([]),
  weightStores: z.array(weightStoreOptionsSchema).default([]),
});

export type ProcessSettings = z.input<typeof processSettingsSchema>;
