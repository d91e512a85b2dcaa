/** A request that has not ended yet. */
export interface RunningRequest {
  readonly id: number;
  readonly url: string;
}

/** The requests of callers that this daemon is working on. */
export class RunningRequests {
  #nextId = 1;
  readonly #running = new Map<number, RunningRequest>();
  readonly #idleListeners = new Set<() => void>();

  get count(): number {
    return this.#running.size;
  }

  /** Notes the start of a request and returns what notes its end. */
  begin(url: string): () => void {
    const id = this.#nextId++;
    this.#running.set(id, { id, url });
    return () => this.#end(id);
  }

  list(): RunningRequest[] {
    return [...this.#running.values()];
  }

  /** Resolves as soon as no request is running. */
  waitUntilIdle(): Promise<void> {
    if (this.#running.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#idleListeners.add(resolve);
    });
  }

  #end(id: number): void {
    this.#running.delete(id);
    if (this.#running.size > 0) return;
    for (const listener of this.#idleListeners) listener();
    this.#idleListeners.clear();
  }
}
