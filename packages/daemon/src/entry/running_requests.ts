/** A client request in flight. */
export interface RunningRequest {
  readonly id: number;
  readonly url: string;
}

/** The client requests that this daemon has in flight. */
export class RunningRequests {
  #nextId = 1;
  readonly #running = new Map<number, RunningRequest>();
  readonly #idleListeners = new Set<() => void>();

  get count(): number {
    return this.#running.size;
  }

  /** Adds a request; the returned function removes it once it has ended. */
  begin(url: string): () => void {
    const id = this.#nextId++;
    this.#running.set(id, { id, url });
    return () => this.#end(id);
  }

  list(): RunningRequest[] {
    return [...this.#running.values()];
  }

  /** Resolves as soon as no request is in flight. */
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
