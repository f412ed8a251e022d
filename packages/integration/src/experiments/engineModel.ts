import type { PrefixBlock } from '@limpetnotch/scheduling';
import { Deferred } from '@limpetnotch/supervision';
import { EnginePrefixCache } from './enginePrefixCache';
import type { VirtualClock } from './virtualClock';

/** Time of one step of an engine, and its limits. */
export const ENGINE = {
  /** Time of a step without any work, in milliseconds. */
  stepMilliseconds: 15,
  /** Additional time for each sequence that decodes a token, in milliseconds. */
  decodeMilliseconds: 0.6,
  /** Additional time for each prompt token that is processed, in milliseconds. */
  prefillMilliseconds: 0.12,
  /** Prompt tokens processed in one step at the most. */
  prefillChunkTokens: 512,
  /** Sequences that run at once. */
  maximumBatch: 16,
  /** Tokens whose keys and values fit in memory. */
  memoryTokens: 400_000,
} as const;

/** A call as an engine runs it. */
export interface EngineRequest {
  readonly prefix: readonly PrefixBlock[];
  /** The answer, as the next prompt will contain it. */
  readonly output: PrefixBlock;
  readonly priority: number;
  readonly onFirstToken: () => void;
}

/** How a call at an engine ended. */
export type EngineAnswer =
  | { readonly kind: 'answered'; readonly promptTokens: number; readonly cachedTokens: number }
  | { readonly kind: 'broken' }
  | { readonly kind: 'not-sent' };

interface Sequence {
  readonly request: EngineRequest;
  readonly arrival: number;
  readonly promptTokens: number;
  readonly answer: Deferred<EngineAnswer>;
  cachedTokens: number;
  prefillLeft: number;
  outputLeft: number;
}

/** Load of an engine at a moment. */
export interface EngineLoad {
  readonly runningCalls: number;
  readonly queuedCalls: number;
  readonly queuedTokens: number;
}

/**
 * Model of an engine that batches continuously: each step decodes one token for every sequence and
 * processes a chunk of prompts, so that the token rate falls as the batch grows.
 */
export class EngineModel {
  readonly cache = new EnginePrefixCache(ENGINE.memoryTokens);

  readonly #clock: VirtualClock;

  #waiting: Sequence[] = [];

  #running: Sequence[] = [];

  #arrivals = 0;

  #isUp = true;

  #isStepping = false;

  /** Rises with each crash, so that a step that was under way has no effect. */
  #incarnation = 0;

  constructor(clock: VirtualClock) {
    this.#clock = clock;
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  submit(request: EngineRequest): Promise<EngineAnswer> {
    if (!this.#isUp) return Promise.resolve({ kind: 'not-sent' });
    this.#arrivals += 1;
    const sequence = {
      request,
      arrival: this.#arrivals,
      promptTokens: request.prefix.reduce((sum, { tokens }) => sum + tokens, 0),
      answer: new Deferred<EngineAnswer>(),
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

  /** Ends the process: calls under way break and the cache is lost. */
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
    const pending = (sequences: readonly Sequence[]): number =>
      sequences.reduce((sum, { prefillLeft }) => sum + prefillLeft, 0);
    const waiting = this.#waiting.reduce((sum, { promptTokens }) => sum + promptTokens, 0);
    return {
      runningCalls: this.#running.length,
      queuedCalls: this.#waiting.length,
      queuedTokens: waiting + pending(this.#running),
    };
  }

  #startStep(): void {
    if (this.#isStepping) return;
    this.#admit();
    if (this.#running.length === 0) return;
    this.#isStepping = true;
    const decoding = this.#running.filter(({ prefillLeft }) => prefillLeft === 0);
    const prefillTokens = this.#prefillChunk();
    const milliseconds =
      ENGINE.stepMilliseconds +
      ENGINE.decodeMilliseconds * decoding.length +
      ENGINE.prefillMilliseconds * prefillTokens;
    const incarnation = this.#incarnation;
    this.#clock.schedule(milliseconds, () =>
      incarnation === this.#incarnation ? this.#finishStep(decoding) : false,
    );
  }

  #admit(): void {
    while (this.#running.length < ENGINE.maximumBatch) {
      const [sequence] = this.#waiting;
      if (!sequence) return;
      const { prefix } = sequence.request;
      if (this.#running.length > 0 && !this.cache.fits(prefix)) return;
      sequence.cachedTokens = this.cache.cachedTokens(prefix);
      this.cache.hold(prefix);
      this.#waiting.shift();
      // The last prompt token is always processed, for it gives the first token of the answer.
      sequence.prefillLeft = Math.max(1, sequence.promptTokens - sequence.cachedTokens);
      this.#running.push(sequence);
    }
  }

  #prefillChunk(): number {
    let left: number = ENGINE.prefillChunkTokens;
    this.#running.forEach((sequence) => {
      const taken = Math.min(left, sequence.prefillLeft);
      Object.assign(sequence, { prefillLeft: sequence.prefillLeft - taken });
      left -= taken;
    });
    return ENGINE.prefillChunkTokens - left;
  }

  /** Returns whether a caller got its first token or its end. */
  #finishStep(decoding: readonly Sequence[]): boolean {
    this.#isStepping = false;
    let isOutward = false;
    decoding.forEach((sequence) => {
      const { output, onFirstToken } = sequence.request;
      if (sequence.outputLeft === output.tokens) {
        onFirstToken();
        isOutward = true;
      }
      Object.assign(sequence, { outputLeft: sequence.outputLeft - 1 });
      if (sequence.outputLeft <= 0) {
        this.#finish(sequence);
        isOutward = true;
      }
    });
    this.#startStep();
    return isOutward;
  }

  #finish(sequence: Sequence): void {
    const { request, promptTokens, cachedTokens } = sequence;
    this.#running = this.#running.filter((other) => other !== sequence);
    this.cache.release(request.prefix);
    this.cache.store(request.output);
    sequence.answer.resolve({ kind: 'answered', promptTokens, cachedTokens });
  }
}
