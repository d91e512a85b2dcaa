import { type Context, Hono } from "hono";
import { z, ZodError } from "zod";
import { HttpListener, type NodeEnv, readJsonBody } from "../http/index.ts";
import type { StandIn } from "../stand_in.ts";
import { type SharedTruth, summarizeRuns } from "../truth/index.ts";

/** The stand-in whose faults change; all other fields are the faults. */
const faultsBodySchema = z.looseObject({ standIn: z.string().min(1) });

/** The stand-ins and records that a control port serves. */
export interface ControlledProcess {
  readonly truth: SharedTruth;
  readonly standIns: ReadonlyMap<string, StandIn>;
}

/** The address on which the control port listens. */
export interface ControlAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Starts the control port: `GET /truth` (optionally limited by `?part=` to
 * `runs`, `admissions`, `summary` or `standIns`, separated by commas),
 * `POST /faults` and `POST /reset`.
 */
export function startControlPort(
  controlled: ControlledProcess,
  address: ControlAddress,
): Promise<HttpListener> {
  const app = new Hono<NodeEnv>();
  app.get("/truth", (context) => handleTruth(context, controlled));
  app.post("/faults", (context) => handleFaults(context, controlled));
  app.post("/reset", async (context) => {
    controlled.truth.reset();
    for (const standIn of controlled.standIns.values()) await standIn.reset();
    return context.json({ reset: true });
  });
  return HttpListener.start({ app, ...address });
}

function handleTruth(
  context: Context<NodeEnv>,
  { truth, standIns }: ControlledProcess,
): Response {
  const parts: Record<string, () => unknown> = {
    runs: () => truth.runs.list(),
    admissions: () => truth.admissions.list(),
    summary: () => summarizeRuns(truth.runs.list()),
    standIns: () =>
      Object.fromEntries(
        [...standIns].map(([name, standIn]) => [name, standIn.describeTruth()]),
      ),
  };
  const part = context.req.query("part");
  const names = part === undefined ? Object.keys(parts) : part.split(",");
  const unknownName = names.find((name) => !(name in parts));
  if (unknownName !== undefined) {
    return context.json({ error: `part: ${unknownName} is unknown` }, 400);
  }
  return Response.json(
    Object.fromEntries(names.map((name) => [name, parts[name]?.()])),
  );
}

async function handleFaults(
  context: Context<NodeEnv>,
  { standIns }: ControlledProcess,
): Promise<Response> {
  const body = await readJsonBody(context, faultsBodySchema);
  if (!body.ok) return context.json({ error: body.message }, 400);
  const { standIn: name, ...faults } = body.value;
  const standIn = standIns.get(name);
  if (!standIn) {
    return context.json({ error: `standIn: ${name} is not here` }, 404);
  }
  try {
    await standIn.applyFaults(faults);
  } catch (error) {
    if (!(error instanceof ZodError)) throw error;
    return context.json({ error: z.prettifyError(error) }, 400);
  }
  return Response.json(standIn.describeTruth());
}
