import type { PrefixBlock } from '@limpetnotch/scheduling';
import { Deferred } from '@limpetnotch/supervision';
import { EnginePrefixCache } from './enginePrefixCache';
import type { VirtualClock } from './virtualClock';

/** Duration of an engine step, and the limits of an engine. */
export const ENGINE = {
  /** Duration of an empty step, in milliseconds. */
  stepMilliseconds: 15,
  /** Additional duration per sequence that decodes a token, in milliseconds. */
  decodeMilliseconds: 0.6,
  /** Additional duration per prompt token processed, in milliseconds. */
  prefillMilliseconds: 0.12,
  /** Maximum number of prompt tokens processed in one step. */
  prefillChunkTokens: 512,
  /** Maximum number of sequences that run concurrently. */
  maximumBatch: 16,
  /** Capacity of the key-value cache, in tokens. */
  memoryTokens: 400_000,
} as const;

/** A call submitted to an engine. */
export interface EngineRequest {
  readonly prefix: readonly PrefixBlock[];
  /** The output, as the block that the next prompt will contain. */
  readonly output: PrefixBlock;
  readonly priority: number;
  readonly onFirstToken: () => void;
}

/** Outcome of a call at an engine. */
export type EngineOutcome =
  | { readonly kind: 'answered'; readonly promptTokens: number; readonly cachedTokens: number }
  | { readonly kind: 'broken' }
  | { readonly kind: 'not-sent' };

interface Sequence {
  readonly request: EngineRequest;
  readonly arrival: number;
  readonly promptTokens: number;
  readonly answer: Deferred<EngineOutcome>;
  cachedTokens: number;
  prefillLeft: number;
  outputLeft: number;
}

/** Current load of an engine. */
export interface EngineLoad {
  readonly runningCalls: number;
  readonly queuedCalls: number;
  readonly queuedTokens: number;
}

/**
 * Simulates an engine with continuous batching: each step decodes one token for every sequence and
 * processes a chunk of prompt tokens, so the token rate per sequence falls as the batch grows.
 */
export class EngineModel {
  readonly cache = new EnginePrefixCache(ENGINE.memoryTokens);

  readonly #clock: VirtualClock;

  #waiting: Sequence[] = [];

  #running: Sequence[] = [];

  #arrivals = 0;

  #isUp = true;

  #isStepping = false;

  /** Incremented on each crash, so that a step in progress has no effect. */
  #incarnation = 0;

  constructor(clock: VirtualClock) {
    this.#clock = clock;
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  submit(request: EngineRequest): Promise<EngineOutcome> {
    if (!this.#isUp) return Promise.resolve({ kind: 'not-sent' });
    this.#arrivals += 1;
    const sequence = {
      request,
      arrival: this.#arrivals,
      promptTokens: request.prefix.reduce((sum, { tokens }) => sum + tokens, 0),
      answer: new Deferred<EngineOutcome>(),
      cachedTokens: 0,
      prefillLeft: 0,
      outputLeft: request.output.tokens,
    };
    this.#waiting.push(sequence);
    this.#waiting.sort(
      (one, other) => one.request.priority - other.request.priority || one.arrival - other.arrival,
    );
    this.#startStep();
    return sequence.answer.promise;
  }

  /** Simulates a crash: calls in flight break and the cache is lost. */
  crash(): void {
    const lost = [...this.#running, ...this.#waiting];
    this.#isUp = false;
    this.#incarnation += 1;
    this.#isStepping = false;
    this.#running = [];
    this.#waiting = [];
    this.cache.clear();
    lost.forEach(({ answer }) => {
      answer.resolve({ kind: 'broken' });
    });
  }

  restart(): void {
    this.#isUp = true;
  }

  load(): EngineLoad {
    const sumPrefillLeft = (sequences: readonly Sequence[]): number =>
      sequences.reduce((sum, { prefillLeft }) => sum + prefillLeft, 0);
    const waitingTokens = this.#waiting.reduce((sum, { promptTokens }) => sum + promptTokens, 0);
    return {
      runningCalls: this.#running.length,
      queuedCalls: this.#waiting.length,
      queuedTokens: waitingTokens + sumPrefillLeft(this.#running),
    };
  }

  #startStep(): void {
    if (this.#isStepping) return;
    this.#admitSequences();
    if (this.#running.length === 0) return;
    this.#isStepping = true;
    const decoding = this.#running.filter(({ prefillLeft }) => prefillLeft === 0);
    const prefillTokens = this.#processPrefillChunk();
    const milliseconds =
      ENGINE.stepMilliseconds +
      ENGINE.decodeMilliseconds * decoding.length +
      ENGINE.prefillMilliseconds * prefillTokens;
    const incarnation = this.#incarnation;
    this.#clock.schedule(milliseconds, () =>
      incarnation === this.#incarnation ? this.#finishStep(decoding) : false,
    );
  }

  #admitSequences(): void {
    while (this.#running.length < ENGINE.maximumBatch) {
      const [sequence] = this.#waiting;
      if (!sequence) return;
      const { prefix } = sequence.request;
      if (this.#running.length > 0 && !this.cache.fits(prefix)) return;
      sequence.cachedTokens = this.cache.cachedTokens(prefix);
      this.cache.hold(prefix);
      this.#waiting.shift();
      // The last prompt token is always processed because it yields the first output token.
      sequence.prefillLeft = Math.max(1, sequence.promptTokens - sequence.cachedTokens);
      this.#running.push(sequence);
    }
  }

  #processPrefillChunk(): number {
    let remainingTokens: number = ENGINE.prefillChunkTokens;
    this.#running.forEach((sequence) => {
      const processedTokens = Math.min(remainingTokens, sequence.prefillLeft);
      Object.assign(sequence, { prefillLeft: sequence.prefillLeft - processedTokens });
      remainingTokens -= processedTokens;
    });
    return ENGINE.prefillChunkTokens - remainingTokens;
  }

  /** Returns whether a caller received its first token or its result. */
  #finishStep(decoding: readonly Sequence[]): boolean {
    this.#isStepping = false;
    let isVisibleToCaller = false;
    decoding.forEach((sequence) => {
      const { output, onFirstToken } = sequence.request;
      if (sequence.outputLeft === output.tokens) {
        onFirstToken();
        isVisibleToCaller = true;
      }
      Object.assign(sequence, { outputLeft: sequence.outputLeft - 1 });
      if (sequence.outputLeft <= 0) {
        this.#finish(sequence);
        isVisibleToCaller = true;
      }
    });
    this.#startStep();
    return isVisibleToCaller;
  }

  #finish(sequence: Sequence): void {
    const { request, promptTokens, cachedTokens } = sequence;
    this.#running = this.#running.filter((other) => other !== sequence);
    this.cache.release(request.prefix);
    this.cache.store(request.output);
    sequence.answer.resolve({ kind: 'answered', promptTokens, cachedTokens });
  }
}
