import { prefixBlocks } from '@limpetnotch/scheduling';
import { joinAnswerText, planAnswer } from './answerText';
import { Batch } from './batch';
import type { CacheChange } from './cacheEventLog';
import { CacheEventLog } from './cacheEventLog';
import type { ChatRequest } from './chatRequest';
import type { EngineSettings } from './engineSettings';
import type { EngineStatistics } from './engineStatistics';
import type { Generation, GenerationSink } from './generation';
import { countPromptTokens } from './generation';
import type { EngineLoad } from './loadHistory';
import { LoadHistory } from './loadHistory';
import type { CacheUpdate } from './prefixCache';
import { PrefixCache } from './prefixCache';

/** Settings and callbacks that the HTTP server provides to its engine. */
export interface ModelEngineHost {
  settings(): EngineSettings;
  /** Called when the engine crashes, after its memory was cleared. */
  onCrashed(): void;
}

/** Model engine without its HTTP server: continuous batch, prefix cache, events and load. */
export class ModelEngine {
  readonly #host: ModelEngineHost;

  readonly #cache = new PrefixCache();

  readonly #batch: Batch;

  readonly #loadHistory = new LoadHistory();

  #events: CacheEventLog;

  #arrivals = 0;

  #crashes = 0;

  #finished = 0;

  #cancelled = 0;

  #prefilledTokens = 0;

  #cachedTokens = 0;

  #outputTokens = 0;

  constructor(host: ModelEngineHost) {
    this.#host = host;
    this.#events = new CacheEventLog(host.settings().seed);
    this.#batch = new Batch({
      settings: () => host.settings(),
      onAdmitted: (generation) => this.#startPrefill(generation),
      onPrefilled: (generation) => this.#cachePrefix(generation, generation.prefix),
      onFinished: (generation) => this.#finish(generation),
      onCrashed: () => this.crash(),
      onChanged: () => this.#sampleLoad(),
    });
  }

  get queuedCount(): number {
    return this.#batch.queuedCount;
  }

  /** Queues a request; returns a function that cancels it. */
  generate(request: ChatRequest, sink: GenerationSink): () => void {
    const answer = planAnswer(request, this.#host.settings().seed);
    const { messages } = request;
    this.#arrivals += 1;
    const generation: Generation = {
      priority: request.priority,
      arrival: this.#arrivals,
      session: request.session_id,
      prefix: prefixBlocks(messages),
      historyPrefix: () =>
        prefixBlocks([...messages, { role: 'assistant', content: joinAnswerText(answer) }]),
      answer,
      sink,
      cachedTokens: 0,
      prefillTokens: 0,
      nextToken: request.resume?.from_token ?? 0,
      progress: 0,
    };
    this.#batch.add(generation);
    return () => {
      this.#cancelled += 1;
      this.#batch.cancel(generation);
    };
  }

  /** Evicts the cache blocks that only this session uses. */
  freeSession(session: string): void {
    this.#logCacheUpdate({ stored: [], evicted: this.#cache.freeSession(session) });
  }

  sessions(): readonly string[] {
    return this.#cache.sessions();
  }

  cacheEvents(after: number): readonly CacheChange[] {
    return this.#events.eventsAfter(after, this.#host.settings().cacheEventDelayMilliseconds);
  }

  /** Returns the load, delayed by `loadLagMilliseconds`. */
  load(): EngineLoad {
    return this.#loadHistory.loadBefore(this.#host.settings().loadLagMilliseconds);
  }

  /** Drops all requests and clears all memory; sequence numbers of cache events restart. */
  crash(): void {
    this.#crashes += 1;
    this.#cache.clear();
    this.#events = new CacheEventLog(this.#host.settings().seed);
    this.#batch.clear();
    this.#host.onCrashed();
  }

  stop(): void {
    this.#batch.clear();
  }

  statistics(): EngineStatistics {
    return {
      finished: this.#finished,
      cancelled: this.#cancelled,
      crashes: this.#crashes,
      running: this.#batch.runningCount,
      queued: this.#batch.queuedCount,
      prefilledTokens: this.#prefilledTokens,
      cachedTokens: this.#cachedTokens,
      outputTokens: this.#outputTokens,
      cacheTokens: this.#cache.tokens,
      sessions: this.#cache.sessions(),
    };
  }

  #startPrefill(generation: Generation): void {
    const admitted = generation;
    const promptTokens = countPromptTokens(generation.prefix);
    admitted.cachedTokens = this.#cache.cachedTokens(generation.prefix);
    // At least one token is prefilled, as the first token of an answer requires it.
    admitted.prefillTokens = Math.max(1, promptTokens - generation.cachedTokens);
    this.#prefilledTokens += promptTokens - admitted.cachedTokens;
    this.#cachedTokens += admitted.cachedTokens;
  }

  #finish(generation: Generation): void {
    const { prefix, answer, sink, cachedTokens } = generation;
    this.#finished += 1;
    this.#outputTokens += answer.tokens;
    this.#cachePrefix(generation, generation.historyPrefix());
    sink.finished({
      promptTokens: countPromptTokens(prefix),
      outputTokens: answer.tokens,
      cachedTokens,
      finishReason: answer.finishReason,
    });
  }

  #cachePrefix({ session }: Generation, prefix: Generation['prefix']): void {
    this.#logCacheUpdate(this.#cache.store(prefix, session, this.#host.settings().cacheTokens));
  }

  #logCacheUpdate({ stored, evicted }: CacheUpdate): void {
    const { cacheEventLossRatio } = this.#host.settings();
    this.#events.add('stored', stored, cacheEventLossRatio);
    this.#events.add('evicted', evicted, cacheEventLossRatio);
  }

  #sampleLoad(): void {
    this.#loadHistory.add({
      running: this.#batch.runningCount,
      queued: this.#batch.queuedCount,
      queuedTokens: this.#batch.queuedTokens,
      cacheTokens: this.#cache.tokens,
    });
  }
}
