import type { CallOutcome, CallStart, Executed } from '@limpetnotch/programs';
import type { AttemptOutcome, ScheduledCall, TargetGrant } from '@limpetnotch/scheduling';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { AttemptError } from '../targets/attemptError';
import { attemptErrorOf } from '../targets/attemptError';
import { AnswerReader } from '../targets/answerReader';
import type { EngineUsage } from '../targets/answerReader';
import type { TargetResponse } from '../targets/targetClient';
import { inSpan } from '../util/inSpan';
import { activeTraceParent } from '../util/traceParent';
import type { AnswerRelay } from './answerRelay';
import { sendAttempt } from './attempt';
import type { CallFailure } from './callFailure';
import { failedOutcome } from './callFailure';
import type { CallRunnerOptions } from './callRunner';

const MILLISECONDS_PER_SECOND = 1_000;
const TOO_MANY_REQUESTS = 429;
const SERVICE_UNAVAILABLE = 503;
const FIRST_ERROR_STATUS = 400;
const NO_TOKENS: EngineUsage = { promptTokens: 0, outputTokens: 0, cachedTokens: 0 };
const EVENT_STREAM = 'text/event-stream';

/** What the attempts of one call need. */
export interface AttemptLoopOptions extends CallRunnerOptions {
  readonly start: Extract<CallStart, { readonly kind: 'run' }>;
  readonly relay: AnswerRelay;
}

/** How one attempt ended without an answer. */
type AttemptFailure =
  /** The target certainly did no work. */
  | { readonly kind: 'not-run'; readonly detail: string }
  /** The target may have done a part of the work. */
  | { readonly kind: 'may-have-run'; readonly detail: string }
  | { readonly kind: 'cancelled'; readonly detail: string };

/** Tries a call at one target after another until one answers or no retry is allowed. */
export class AttemptLoop {
  readonly #options: AttemptLoopOptions;

  readonly #excluded: string[] = [];

  readonly #signal: AbortSignal;

  readonly #deadline: AbortSignal;

  readonly #startedAt = performance.now();

  #reader = new AnswerReader();

  #mayHaveRun = false;

  #lastTarget: string | undefined;

  constructor(options: AttemptLoopOptions) {
    this.#options = options;
    this.#deadline = AbortSignal.timeout(AttemptLoop.#timeLimit(options));
    this.#signal = AbortSignal.any([options.signal, options.partition.lost, this.#deadline]);
  }

  /** Target of the last attempt that was sent, if any was. */
  get lastTarget(): string | undefined {
    return this.#lastTarget;
  }

  /** Runs attempts and returns the outcome to be recorded. */
  async run(): Promise<CallOutcome> {
    const { plan, scheduler } = this.#options;
    for (let failedAttempts = 0; ; failedAttempts += 1) {
      const granted = await this.#acquire();
      if (granted.isErr()) return this.#failed(granted.error);
      const attempt = await this.#attempt(granted.value);
      if (attempt.isOk()) return attempt.value;
      const failure = this.#failureOf(attempt.error);
      const mayRetry =
        this.#isSafeToRetry(attempt.error, granted.value) &&
        scheduler.mayRetry(this.#scheduledCall(), failedAttempts + 1);
      if (!mayRetry) return this.#failed(failure);
      this.#excluded.push(granted.value.target);
      this.#options.metrics.increment('call.retries', 1, { route: plan.routeName });
    }
  }

  static #timeLimit({ plan, start }: AttemptLoopOptions): number {
    const routeLimit = plan.route.deadlineSeconds * MILLISECONDS_PER_SECOND;
    return Math.max(1, Math.min(routeLimit, start.wallTimeLeftMilliseconds ?? routeLimit));
  }

  async #acquire(): Promise<Result<TargetGrant, CallFailure>> {
    const { scheduler, tracer, metrics, plan } = this.#options;
    const granted = await inSpan(tracer, 'queue', async () =>
      scheduler.acquire(this.#scheduledCall(), this.#signal),
    );
    return granted
      .map((grant) => {
        metrics.distribution('call.queue-milliseconds', grant.queuedMilliseconds, {
          route: plan.routeName,
        });
        return grant;
      })
      .mapErr((refusal) => ({
        problem: this.#deadline.aborted ? 'deadline-exceeded' : refusal.problem,
        detail: refusal.detail,
        executed: this.#executedSoFar(),
        retryAfterMilliseconds: refusal.retryAfterMilliseconds,
        spentTokens: this.#spentTokens(),
      }));
  }

  #scheduledCall(): ScheduledCall {
    const { plan, start, request } = this.#options;
    const { organisation, path } = plan.callRequest.program;
    return {
      callId: start.callId,
      organisation,
      rootProgram: `${organisation}/${path.split('/', 1)[0] ?? path}`,
      route: request.route,
      model: plan.chat?.model,
      targets: plan.route.targets,
      prefix: plan.prefix,
      maximumOutputTokens: Math.max(0, start.reservation.tokens - plan.promptTokens),
      idempotent: plan.route.idempotent,
      requestDigest: plan.requestDigest,
      excludedTargets: this.#excluded,
    };
  }

  async #attempt(grant: TargetGrant): Promise<Result<CallOutcome, AttemptFailure>> {
    const { tracer } = this.#options;
    return inSpan(tracer, 'target.attempt', async () => this.#attemptInSpan(grant), {
      target: grant.target,
      attempt: this.#excluded.length + 1,
    });
  }

  async #attemptInSpan(grant: TargetGrant): Promise<Result<CallOutcome, AttemptFailure>> {
    const { targets, start, plan, request, relay } = this.#options;
    const resumeAt = this.#reader.tokens;
    if (resumeAt === 0) relay.reset();
    this.#lastTarget = grant.target;
    const sent = await sendAttempt({
      client: targets,
      request,
      plan,
      grant,
      callId: start.callId,
      sessionId: start.sessionId,
      reservedTokens: start.reservation.tokens,
      resume: resumeAt > 0 ? { requestId: start.callId, fromToken: resumeAt } : undefined,
      traceParent: activeTraceParent(),
      signal: this.#signal,
    });
    if (sent.isErr()) return this.#release(grant, sent.error);
    if (plan.chat && AttemptLoop.#isRefusal(sent.value)) {
      sent.value.body.destroy();
      grant.release({ kind: 'refused' });
      return err({ kind: 'not-run', detail: `${grant.target} refused the call` });
    }
    return this.#relayAnswer(grant, sent.value);
  }

  static #isRefusal({ status }: TargetResponse): boolean {
    return status === TOO_MANY_REQUESTS || status === SERVICE_UNAVAILABLE;
  }

  async #relayAnswer(
    grant: TargetGrant,
    response: TargetResponse,
  ): Promise<Result<CallOutcome, AttemptFailure>> {
    try {
      await this.#relayBody(grant, response);
    } catch (error) {
      return this.#release(grant, attemptErrorOf(error, this.#signal.aborted));
    }
    const usage = this.#engineUsage(response);
    grant.release({ kind: 'answered', ...usage });
    this.#recordLatency();
    const { plan, relay } = this.#options;
    return ok({
      kind: 'answered',
      answer: relay.answer(),
      usage: {
        tokens: usage.promptTokens + usage.outputTokens,
        calls: 1,
        spendMicros: plan.route.spendMicrosPerCall,
      },
    });
  }

  async #relayBody(grant: TargetGrant, response: TargetResponse): Promise<void> {
    const { relay, start } = this.#options;
    const contentType = String(response.headers['content-type'] ?? 'application/octet-stream');
    relay.start({ status: response.status, contentType, sequence: start.sequence });
    if (contentType.startsWith(EVENT_STREAM)) {
      await this.#relayStream(grant, response);
    } else {
      await this.#holdWhole(response);
    }
  }

  async #relayStream(grant: TargetGrant, { body }: TargetResponse): Promise<void> {
    const { relay } = this.#options;
    let finished = false;
    for await (const bytes of body) {
      for (const frame of this.#reader.read(bytes as Uint8Array)) {
        if (frame.token && this.#reader.tokens === 1) this.#recordFirstToken();
        if (frame.token) grant.progress(1);
        finished ||= frame.done;
        await relay.frame(frame);
      }
    }
    if (!finished) throw new Error('the stream ended before its closing event');
  }

  async #holdWhole({ body }: TargetResponse): Promise<void> {
    const { relay, plan } = this.#options;
    const parts: Uint8Array[] = [];
    for await (const bytes of body) {
      parts.push(bytes as Uint8Array);
      relay.hold(bytes as Uint8Array);
    }
    if (plan.chat) this.#reader.readWhole(Buffer.concat(parts).toString('utf8'));
  }

  #release(grant: TargetGrant, error: AttemptError): Result<never, AttemptFailure> {
    grant.release(AttemptLoop.#attemptOutcome(error));
    const detail = `${grant.target}: ${error.detail}`;
    switch (error.kind) {
      case 'not-sent':
        return err({ kind: 'not-run', detail });
      case 'broken':
      case 'silent':
        this.#mayHaveRun = true;
        return err({ kind: 'may-have-run', detail });
      case 'cancelled':
        this.#mayHaveRun = true;
        return err({ kind: 'cancelled', detail });
      // no default
    }
  }

  static #attemptOutcome({ kind }: AttemptError): AttemptOutcome {
    switch (kind) {
      case 'not-sent':
      case 'cancelled':
        return { kind };
      case 'silent':
        return { kind: 'broken', cause: 'silent' };
      case 'broken':
        return { kind: 'broken', cause: 'connection-lost' };
      // no default
    }
  }

  /** A call that may have run is sent again only if it is idempotent and nothing would repeat. */
  #isSafeToRetry(failure: AttemptFailure, grant: TargetGrant): boolean {
    const { plan, relay } = this.#options;
    if (this.#signal.aborted) return false;
    switch (failure.kind) {
      case 'not-run':
        return !this.#mayHaveRun || plan.route.idempotent;
      case 'may-have-run':
        return plan.route.idempotent && (!relay.started || grant.resumable);
      case 'cancelled':
        return false;
      // no default
    }
  }

  #failureOf(failure: AttemptFailure): CallFailure {
    const base = {
      detail: failure.detail,
      executed: this.#executedSoFar(),
      spentTokens: this.#spentTokens(),
    };
    if (this.#deadline.aborted) return { ...base, problem: 'deadline-exceeded' };
    switch (failure.kind) {
      case 'not-run':
        return { ...base, problem: 'target-unreachable' };
      case 'may-have-run':
        return { ...base, problem: 'target-broken' };
      case 'cancelled':
        return { ...base, problem: 'cancelled' };
      // no default
    }
  }

  #executedSoFar(): Executed {
    return this.#mayHaveRun ? 'unknown' : 'no';
  }

  /** What a broken call may have cost: all that was reserved, as nobody reported less. */
  #spentTokens(): number {
    return this.#mayHaveRun ? this.#options.start.reservation.tokens : 0;
  }

  #failed(failure: CallFailure): CallOutcome {
    const { plan } = this.#options;
    return failedOutcome(failure, plan.route.spendMicrosPerCall);
  }

  /** An engine that answered with an error and no usage generated nothing. */
  #engineUsage({ status }: TargetResponse): EngineUsage {
    const { plan } = this.#options;
    if (status >= FIRST_ERROR_STATUS && !this.#reader.usage) return NO_TOKENS;
    const estimate = { promptTokens: plan.promptTokens, outputTokens: this.#reader.tokens };
    return this.#reader.usage ?? { ...estimate, cachedTokens: 0 };
  }

  #recordFirstToken(): void {
    const elapsed = performance.now() - this.#startedAt;
    this.#options.metrics.distribution('call.first-token-milliseconds', elapsed);
  }

  #recordLatency(): void {
    const elapsed = performance.now() - this.#startedAt;
    this.#options.metrics.distribution('call.milliseconds', elapsed);
  }
}
