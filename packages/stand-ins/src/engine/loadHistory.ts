/** Load of an engine at one time. */
export interface EngineLoad {
  readonly running: number;
  readonly queued: number;
  readonly queuedTokens: number;
  readonly cacheTokens: number;
}

interface Sample {
  readonly at: number;
  readonly load: EngineLoad;
}

const IDLE_LOAD: EngineLoad = { running: 0, queued: 0, queuedTokens: 0, cacheTokens: 0 };

/** Records the load, so that it can be reported with a lag. */
export class LoadHistory {
  #samples: Sample[] = [];

  add(load: EngineLoad): void {
    this.#samples.push({ at: Date.now(), load });
  }

  /** Returns the load of `lagMilliseconds` ago. Older samples are discarded. */
  loadBefore(lagMilliseconds: number): EngineLoad {
    const latest = Date.now() - lagMilliseconds;
    const newestVisible = this.#samples.findLastIndex((sample) => sample.at <= latest);
    if (newestVisible < 0) return IDLE_LOAD;
    this.#samples = this.#samples.slice(newestVisible);
    return this.#samples[0]?.load ?? IDLE_LOAD;
  }
}
