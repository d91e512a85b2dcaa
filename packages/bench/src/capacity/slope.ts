import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** A measured value at one size. */
export interface Sample {
  readonly size: number;
  readonly value: number;
}

/** A line fitted to measured samples. */
export interface Slope {
  readonly name: string;
  readonly sizeUnit: string;
  readonly valueUnit: string;
  readonly samples: readonly Sample[];
  /** Value at size 0, and change of the value per unit of size. */
  readonly base: number;
  readonly perUnit: number;
}

/** Fits a line to the samples by least squares. */
export function fitSlope(
  name: string,
  sizeUnit: string,
  valueUnit: string,
  samples: readonly Sample[],
): Slope {
  const count = samples.length;
  const meanSize = samples.reduce((sum, it) => sum + it.size, 0) / count;
  const meanValue = samples.reduce((sum, it) => sum + it.value, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const { size, value } of samples) {
    covariance += (size - meanSize) * (value - meanValue);
    variance += (size - meanSize) ** 2;
  }
  const perUnit = variance === 0 ? 0 : covariance / variance;
  const base = meanValue - perUnit * meanSize;
  return { name, sizeUnit, valueUnit, samples, base, perUnit };
}

/**
 * Measures the processor time of one call of `action`, in microseconds, after
 * as many warm-up calls.
 */
export function measureCpuUs(calls: number, action: () => void): number {
  for (let call = 0; call < calls; call++) action();
  const before = process.cpuUsage();
  for (let call = 0; call < calls; call++) action();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / calls;
}

/** Measures the heap that the result of `create` retains, in bytes per item. */
export function measureHeapBytes(count: number, create: () => unknown): number {
  setFlagsFromString("--expose-gc");
  const collect: () => void = runInNewContext("gc");
  collect();
  const before = process.memoryUsage().heapUsed;
  const retained = create();
  collect();
  const after = process.memoryUsage().heapUsed;
  // This reference keeps the created items reachable until here.
  return retained === undefined ? 0 : (after - before) / count;
}
