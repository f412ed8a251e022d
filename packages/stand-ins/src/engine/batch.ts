import type { EngineSettings } from './engineSettings';
import type { Generation } from './generation';
import { promptTokensOf } from './generation';

const TICK_MILLISECONDS = 5;
const MILLISECONDS_PER_SECOND = 1_000;

/** What the batch needs from its engine. */
export interface BatchHost {
  settings(): EngineSettings;
  /** Called when a generation enters the batch; sets its cached and its prefill tokens. */
  admitted(generation: Generation): void;
  /** Called when the prompt is computed. */
  prefilled(generation: Generation): void;
  /** Called when the whole answer was given. */
  finished(generation: Generation): void;
  /** Called when a generation reaches the token that crashes the engine. */
  crashed(generation: Generation): void;
  /** Called after each change of the queue or the batch. */
  changed(): void;
}

/** Continuous batch: a queue by priority, a shared prefill rate and a rate for each stream. */
export class Batch {
  readonly #host: BatchHost;

  #queued: Generation[] = [];

  #running: Generation[] = [];

  #timer: NodeJS.Timeout | undefined;

  #lastTick = 0;

  constructor(host: BatchHost) {
    this.#host = host;
  }

  get runningCount(): number {
    return this.#running.length;
  }

  get queuedCount(): number {
    return this.#queued.length;
  }

  /** Tokens of prompts and answers that wait. */
  get queuedTokens(): number {
    return this.#queued.reduce(
      (sum, { prefix, answer, nextToken }) =>
        sum + promptTokensOf(prefix) + answer.tokens - nextToken,
      0,
    );
  }

  add(generation: Generation): void {
    this.#queued.push(generation);
    this.#queued.sort(
      (left, right) => left.priority - right.priority || left.arrival - right.arrival,
    );
    this.#admit();
    this.#host.changed();
  }

  /** Takes a generation out, wherever it is. */
  cancel(generation: Generation): void {
    this.#queued = this.#queued.filter((other) => other !== generation);
    this.#running = this.#running.filter((other) => other !== generation);
    this.#admit();
    this.#host.changed();
  }

  clear(): void {
    this.#queued = [];
    this.#running = [];
    this.#stop();
    this.#host.changed();
  }

  #admit(): void {
    const { maximumBatch } = this.#host.settings();
    while (this.#running.length < maximumBatch) {
      const next = this.#queued.shift();
      if (next === undefined) break;
      this.#host.admitted(next);
      this.#running.push(next);
    }
    if (this.#running.length === 0) this.#stop();
    else this.#startTimer();
  }

  #startTimer(): void {
    if (this.#timer !== undefined) return;
    this.#lastTick = performance.now();
    this.#timer = setInterval(() => this.#tick(), TICK_MILLISECONDS);
  }

  #stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #tick(): void {
    const now = performance.now();
    const seconds = (now - this.#lastTick) / MILLISECONDS_PER_SECOND;
    this.#lastTick = now;
    if (this.#host.settings().hung) return;
    const decoding = this.#running.filter((generation) => generation.prefillTokens <= 0);
    this.#prefill(seconds);
    decoding.forEach((generation) => this.#decode(generation, seconds));
  }

  #prefill(seconds: number): void {
    let budget = this.#host.settings().prefillTokensPerSecond * seconds;
    this.#running
      .filter((generation) => generation.prefillTokens > 0)
      .forEach((generation) => {
        const prefilling = generation;
        const spent = Math.min(budget, generation.prefillTokens);
        budget -= spent;
        prefilling.prefillTokens -= spent;
        if (prefilling.prefillTokens <= 0) this.#host.prefilled(generation);
      });
  }

  #decode(generation: Generation, seconds: number): void {
    const { tokensPerSecond, slowdownPerStream } = this.#host.settings();
    const rate = tokensPerSecond / (1 + slowdownPerStream * (this.#running.length - 1));
    const decoding = generation;
    decoding.progress += rate * seconds;
    while (decoding.progress >= 1 && this.#running.includes(generation)) {
      decoding.progress -= 1;
      this.#emit(decoding);
    }
  }

  #emit(generation: Generation): void {
    const decoding = generation;
    const { answer, sink, nextToken } = decoding;
    if (answer.crashAtToken === nextToken) {
      this.#host.crashed(generation);
      return;
    }
    if (nextToken < answer.tokens) {
      sink.token(answer.tokenText(nextToken), nextToken);
      decoding.nextToken += 1;
    }
    if (decoding.nextToken >= answer.tokens) {
      this.cancel(generation);
      this.#host.finished(generation);
    }
  }
}
