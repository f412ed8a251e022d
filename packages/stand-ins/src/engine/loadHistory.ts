/** Load of an engine at one moment. */
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

const IDLE: EngineLoad = { running: 0, queued: 0, queuedTokens: 0, cacheTokens: 0 };

/** Remembers the load, so that it can be reported with a lag. */
export class LoadHistory {
  #samples: Sample[] = [];

  add(load: EngineLoad): void {
    this.#samples.push({ at: Date.now(), load });
  }

  /** Returns the load as it was some time ago, in milliseconds. */
  before(lagMilliseconds: number): EngineLoad {
    const latest = Date.now() - lagMilliseconds;
    const seen = this.#samples.findLastIndex((sample) => sample.at <= latest);
    if (seen < 0) return IDLE;
    this.#samples = this.#samples.slice(seen);
    return this.#samples[0]?.load ?? IDLE;
  }
}
