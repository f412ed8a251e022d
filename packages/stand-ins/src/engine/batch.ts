import type { EngineSettings } from './engineSettings';
import type { Generation } from './generation';
import { countPromptTokens } from './generation';

const TICK_MILLISECONDS = 5;
const MILLISECONDS_PER_SECOND = 1_000;

/** Settings and callbacks that the engine provides to its batch. */
export interface BatchHost {
  settings(): EngineSettings;
  /** Called when a generation enters the batch; sets its `cachedTokens` and `prefillTokens`. */
  onAdmitted(generation: Generation): void;
  /** Called when the prefill of the prompt is complete. */
  onPrefilled(generation: Generation): void;
  /** Called when the answer is complete. */
  onFinished(generation: Generation): void;
  /** Called when a generation reaches the token that crashes the engine. */
  onCrashed(generation: Generation): void;
  /** Called after each change of the queue or the batch. */
  onChanged(): void;
}

/**
 * Continuous batch: a priority queue, a prefill rate shared by all streams and a decode rate per
 * stream.
 */
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

  /** Tokens of the prompts and answers in the queue. */
  get queuedTokens(): number {
    return this.#queued.reduce(
      (sum, { prefix, answer, nextToken }) =>
        sum + countPromptTokens(prefix) + answer.tokens - nextToken,
      0,
    );
  }

  add(generation: Generation): void {
    this.#queued.push(generation);
    this.#queued.sort(
      (left, right) => left.priority - right.priority || left.arrival - right.arrival,
    );
    this.#admit();
    this.#host.onChanged();
  }

  /** Removes a generation from the queue or the batch. */
  cancel(generation: Generation): void {
    this.#queued = this.#queued.filter((other) => other !== generation);
    this.#running = this.#running.filter((other) => other !== generation);
    this.#admit();
    this.#host.onChanged();
  }

  clear(): void {
    this.#queued = [];
    this.#running = [];
    this.#stopTimer();
    this.#host.onChanged();
  }

  #admit(): void {
    const { maximumBatch } = this.#host.settings();
    while (this.#running.length < maximumBatch) {
      const next = this.#queued.shift();
      if (next === undefined) break;
      this.#host.onAdmitted(next);
      this.#running.push(next);
    }
    if (this.#running.length === 0) this.#stopTimer();
    else this.#startTimer();
  }

  #startTimer(): void {
    if (this.#timer !== undefined) return;
    this.#lastTick = performance.now();
    this.#timer = setInterval(() => this.#tick(), TICK_MILLISECONDS);
  }

  #stopTimer(): void {
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
        if (prefilling.prefillTokens <= 0) this.#host.onPrefilled(generation);
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
      this.#host.onCrashed(generation);
      return;
    }
    if (nextToken < answer.tokens) {
      sink.token(answer.tokenText(nextToken), nextToken);
      decoding.nextToken += 1;
    }
    if (decoding.nextToken >= answer.tokens) {
      this.cancel(generation);
      this.#host.onFinished(generation);
    }
  }
}
