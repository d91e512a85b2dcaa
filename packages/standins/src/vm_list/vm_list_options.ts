import { z } from "zod";

/** One VM in the list of the platform. */
export const vmSchema = z.strictObject({
  name: z.string().min(1),
  role: z.enum(["daemon", "target"]),
  availabilityZone: z.string().min(1),
  /** Pool of a target. */
  pool: z.string().min(1).optional(),
  host: z.string().min(1),
  /** Port of a daemon for clients, or of an engine or service. */
  port: z.int().min(0).max(65_535),
  /** Port for other daemons. */
  peerPort: z.int().min(0).max(65_535).optional(),
  state: z.enum(["live", "leaving"]).default("live"),
});

export type Vm = z.infer<typeof vmSchema>;

/** Changes of the faults and of the content of the VM list. */
export const vmListChangeSchema = z.strictObject({
  /** Age of the list that clients receive. */
  lagMs: z.number().nonnegative(),
  /** Refuses connections. */
  down: z.boolean(),
  /** Replaces the complete list. */
  vms: z.array(vmSchema),
  /** Adds VMs, or replaces those of the same name. */
  upsert: z.array(vmSchema),
  /** Changes the states of VMs, by name. */
  states: z.record(z.string(), z.enum(["live", "leaving"])),
  /** Removes the VMs of these names. */
  remove: z.array(z.string()),
}).partial();

export type VmListChange = z.infer<typeof vmListChangeSchema>;

/** The settings of the VM list. */
export const vmListOptionsSchema = z.strictObject({
  name: z.string().min(1).default("vm-list"),
  host: z.string().default("127.0.0.1"),
  port: z.int().min(0).max(65_535).default(0),
  lagMs: z.number().nonnegative().default(1_000),
  vms: z.array(vmSchema).default([]),
});

export type VmListOptions = z.infer<typeof vmListOptionsSchema>;
export type VmListSettings = z.input<typeof vmListOptionsSchema>;

/** The options of a VM list whose settings are all left at their defaults. */
export const DEFAULT_VM_LIST_OPTIONS: VmListOptions = vmListOptionsSchema.parse(
  {},
);
