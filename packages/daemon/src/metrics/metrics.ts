import { build, type Histogram } from "hdr-histogram-js";

const HIGHEST_TRACKED_US = 3_600_000_000;
const SIGNIFICANT_DIGITS = 2;
const REPORTED_PERCENTILES = [50, 95, 99] as const;
const US_PER_MS = 1_000;

/** Counters and latency histograms of one daemon. */
export class Metrics {
  readonly #counters = new Map<string, number>();
  readonly #gauges = new Map<string, () => number>();
  readonly #histograms = new Map<string, Histogram>();

  /** Adds to a counter, with a name such as `requests_completed_total`. */
  count(name: string, amount = 1): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + amount);
  }

  counter(name: string): number {
    return this.#counters.get(name) ?? 0;
  }

  /** Reports what `read` returns whenever the metrics are read. */
  gauge(name: string, read: () => number): void {
    this.#gauges.set(name, read);
  }

  /** Records a duration, in us so that short durations keep their precision. */
  recordMs(name: string, durationMs: number): void {
    let histogram = this.#histograms.get(name);
    if (!histogram) {
      histogram = build({
        highestTrackableValue: HIGHEST_TRACKED_US,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      });
      this.#histograms.set(name, histogram);
    }
    const us = Math.round(durationMs * US_PER_MS);
    histogram.recordValue(Math.min(Math.max(us, 1), HIGHEST_TRACKED_US));
  }

  /** All counters and histogram summaries for the state dump. */
  dump(): Record<string, unknown> {
    const histograms: Record<string, unknown> = {};
    for (const [name, histogram] of this.#histograms) {
      histograms[name] = this.#summarize(histogram);
    }
    const gauges: Record<string, number> = {};
    for (const [name, read] of this.#gauges) gauges[name] = read();
    const counters = Object.fromEntries(this.#counters);
    return { counters, gauges, histograms };
  }

  /** All metrics in the Prometheus text format. */
  renderText(): string {
    const lines: string[] = [];
    for (const [name, value] of this.#counters) {
      lines.push(`# TYPE coltsfoot_${name} counter`);
      lines.push(`coltsfoot_${name} ${value}`);
    }
    for (const [name, read] of this.#gauges) {
      lines.push(`# TYPE coltsfoot_${name} gauge`);
      lines.push(`coltsfoot_${name} ${read()}`);
    }
    for (const [name, histogram] of this.#histograms) {
      lines.push(`# TYPE coltsfoot_${name} summary`);
      for (const percentile of REPORTED_PERCENTILES) {
        const ms = histogram.getValueAtPercentile(percentile) / US_PER_MS;
        const quantile = percentile / 100;
        lines.push(`coltsfoot_${name}{quantile="${quantile}"} ${ms}`);
      }
      lines.push(`coltsfoot_${name}_count ${histogram.totalCount}`);
    }
    return lines.join("\n") + "\n";
  }

  #summarize(histogram: Histogram): Record<string, number> {
    const summary: Record<string, number> = { count: histogram.totalCount };
    for (const percentile of REPORTED_PERCENTILES) {
      const us = histogram.getValueAtPercentile(percentile);
      summary[`p${percentile}Ms`] = us / US_PER_MS;
    }
    summary["maxMs"] = histogram.maxValue / US_PER_MS;
    return summary;
  }
}
