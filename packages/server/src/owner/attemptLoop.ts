import type { CallOutcome, CallStart, Executed } from '@limpetnotch/programs';
import type { AttemptOutcome, ScheduledCall, TargetGrant } from '@limpetnotch/scheduling';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { AttemptError } from '../targets/attemptError';
import { toAttemptError } from '../targets/attemptError';
import type { TargetRefusal } from '../targets/classifyRefusal';
import { classifyRefusal } from '../targets/classifyRefusal';
import { AnswerReader } from '../targets/answerReader';
import type { EngineUsage } from '../targets/answerReader';
import type { TargetResponse } from '../targets/targetClient';
import { withSpan } from '../util/withSpan';
import { getActiveTraceParent } from '../util/traceParent';
import type { AnswerRelay } from './answerRelay';
import { sendAttempt } from './sendAttempt';
import type { CallFailure } from './callFailure';
import { toFailedOutcome } from './callFailure';
import type { CallRunnerOptions } from './callRunner';

const MILLISECONDS_PER_SECOND = 1_000;
const FIRST_ERROR_STATUS = 400;
const NO_USAGE: EngineUsage = { promptTokens: 0, outputTokens: 0, cachedTokens: 0 };
const EVENT_STREAM = 'text/event-stream';

/** Options of {@link AttemptLoop}. */
export interface AttemptLoopOptions extends CallRunnerOptions {
  readonly start: Extract<CallStart, { readonly kind: 'run' }>;
  readonly relay: AnswerRelay;
}

/** Why an attempt ended without an answer. */
type AttemptFailure =
  /** The target has certainly not started the call. */
  | { readonly kind: 'not-run'; readonly detail: string }
  /** The target refused the call and doesn't state that it has not run it. */
  | { readonly kind: 'unproven-refusal'; readonly detail: string }
  /** The target may have run the call, completely or in part. */
  | { readonly kind: 'may-have-run'; readonly detail: string }
  | { readonly kind: 'cancelled'; readonly detail: string };

/** Attempts a call at one target after another until one answers or no retry is allowed. */
export class AttemptLoop {
  readonly #options: AttemptLoopOptions;

  readonly #excludedTargets: string[] = [];

  readonly #signal: AbortSignal;

  readonly #deadline: AbortSignal;

  readonly #startedAt = performance.now();

  #answerReader = new AnswerReader();

  #mayHaveRun = false;

  /** Whether an attempt that reported no usage may have spent tokens. */
  #mayHaveSpent = false;

  #lastTarget: string | undefined;

  constructor(options: AttemptLoopOptions) {
    this.#options = options;
    this.#deadline = AbortSignal.timeout(AttemptLoop.#computeTimeLimitMilliseconds(options));
    this.#signal = AbortSignal.any([options.signal, options.partition.lossSignal, this.#deadline]);
  }

  /** Target of the last attempt, if one was sent. */
  get lastTarget(): string | undefined {
    return this.#lastTarget;
  }

  /** Runs attempts and returns the outcome to be recorded. */
  async run(): Promise<CallOutcome> {
    const { plan, scheduler } = this.#options;
    for (let failedAttempts = 0; ; failedAttempts += 1) {
      const granted = await this.#acquireTarget();
      if (granted.isErr()) return this.#toFailedOutcome(granted.error);
      const result = await this.#runAttempt(granted.value);
      if (result.isOk()) return result.value;
      const failure = this.#toCallFailure(result.error);
      const mayRetry =
        this.#isSafeToRetry(result.error, granted.value) &&
        scheduler.mayRetry(this.#createScheduledCall(), failedAttempts + 1);
      if (!mayRetry) return this.#toFailedOutcome(failure);
      this.#excludedTargets.push(granted.value.target);
      this.#options.metrics.increment('call.retries', 1, { route: plan.routeName });
    }
  }

  static #computeTimeLimitMilliseconds({ plan, start }: AttemptLoopOptions): number {
    const routeLimitMilliseconds = plan.route.deadlineSeconds * MILLISECONDS_PER_SECOND;
    return Math.max(
      1,
      Math.min(routeLimitMilliseconds, start.wallTimeLeftMilliseconds ?? routeLimitMilliseconds),
    );
  }

  async #acquireTarget(): Promise<Result<TargetGrant, CallFailure>> {
    const { scheduler, tracer, metrics, plan } = this.#options;
    const granted = await withSpan(tracer, 'queue', async () =>
      scheduler.acquire(this.#createScheduledCall(), this.#signal),
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
        executed: this.#getExecuted(),
        retryAfterMilliseconds: refusal.retryAfterMilliseconds,
        spentTokens: this.#getSpentTokens(),
      }));
  }

  #createScheduledCall(): ScheduledCall {
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
      excludedTargets: this.#excludedTargets,
    };
  }

  async #runAttempt(grant: TargetGrant): Promise<Result<CallOutcome, AttemptFailure>> {
    const { tracer } = this.#options;
    return withSpan(tracer, 'target.attempt', async () => this.#attemptInSpan(grant), {
      target: grant.target,
      attempt: this.#excludedTargets.length + 1,
    });
  }

  async #attemptInSpan(grant: TargetGrant): Promise<Result<CallOutcome, AttemptFailure>> {
    const { targets, start, plan, request, relay } = this.#options;
    const resumeFromToken = this.#answerReader.tokens;
    if (resumeFromToken === 0) relay.reset();
    this.#lastTarget = grant.target;
    const sent = await sendAttempt({
      client: targets,
      request,
      plan,
      grant,
      callId: start.callId,
      sessionId: start.sessionId,
      reservedTokens: start.reservation.tokens,
      resume:
        resumeFromToken > 0 ? { requestId: start.callId, fromToken: resumeFromToken } : undefined,
      traceParent: getActiveTraceParent(),
      signal: this.#signal,
    });
    if (sent.isErr()) return this.#releaseAfterError(grant, sent.error);
    const refusal = classifyRefusal(sent.value, plan.chat !== undefined);
    return refusal
      ? this.#releaseAfterRefusal(grant, sent.value, refusal)
      : this.#relayAnswer(grant, sent.value);
  }

  #releaseAfterRefusal(
    grant: TargetGrant,
    { status, body }: TargetResponse,
    refusal: TargetRefusal,
  ): Result<never, AttemptFailure> {
    body.on('error', () => undefined).destroy();
    grant.release({ kind: 'refused' });
    switch (refusal) {
      case 'not-run':
        return err({ kind: 'not-run', detail: `${grant.target} refused the call` });
      case 'unproven': {
        const detail = `${grant.target}: status ${status} without a statement that the call has not run`;
        const { metrics, logger, start } = this.#options;
        this.#mayHaveRun = true;
        metrics.increment('call.unproven-refusals', 1, { status: String(status) });
        logger.info('call.unproven-refusal', {
          callId: start.callId,
          target: grant.target,
          detail,
        });
        return err({ kind: 'unproven-refusal', detail });
      }
      // no default
    }
  }

  async #relayAnswer(
    grant: TargetGrant,
    response: TargetResponse,
  ): Promise<Result<CallOutcome, AttemptFailure>> {
    try {
      await this.#relayBody(grant, response);
    } catch (error) {
      return this.#releaseAfterError(grant, toAttemptError(error, this.#signal.aborted));
    }
    const usage = this.#getEngineUsage(response);
    grant.release({ kind: 'answered', ...usage });
    this.#recordLatency();
    const { plan, relay } = this.#options;
    return ok({
      kind: 'answered',
      answer: relay.getAnswer(),
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
    relay.setHead({ status: response.status, contentType, sequence: start.sequence });
    if (contentType.startsWith(EVENT_STREAM)) {
      await this.#relayStream(grant, response);
    } else {
      await this.#bufferBody(response);
    }
  }

  async #relayStream(grant: TargetGrant, { body }: TargetResponse): Promise<void> {
    const { relay } = this.#options;
    let finished = false;
    for await (const bytes of body) {
      for (const event of this.#answerReader.read(bytes as Uint8Array)) {
        if (event.carriesToken && this.#answerReader.tokens === 1) this.#recordFirstToken();
        if (event.carriesToken) grant.progress(1);
        finished ||= event.isLast;
        await relay.relayEvent(event);
      }
    }
    if (!finished) throw new Error('the stream ended before its closing event');
  }

  async #bufferBody({ body }: TargetResponse): Promise<void> {
    const { relay, plan } = this.#options;
    const parts: Uint8Array[] = [];
    for await (const bytes of body) {
      parts.push(bytes as Uint8Array);
      relay.buffer(bytes as Uint8Array);
    }
    if (plan.chat) this.#answerReader.readBody(Buffer.concat(parts).toString('utf8'));
  }

  #releaseAfterError(grant: TargetGrant, error: AttemptError): Result<never, AttemptFailure> {
    grant.release(AttemptLoop.#toAttemptOutcome(error));
    const detail = `${grant.target}: ${error.detail}`;
    switch (error.kind) {
      case 'not-sent':
        return err({ kind: 'not-run', detail });
      case 'broken':
      case 'silent':
        this.#mayHaveRun = true;
        this.#mayHaveSpent = true;
        return err({ kind: 'may-have-run', detail });
      case 'cancelled':
        this.#mayHaveRun = true;
        this.#mayHaveSpent = true;
        return err({ kind: 'cancelled', detail });
      // no default
    }
  }

  static #toAttemptOutcome({ kind }: AttemptError): AttemptOutcome {
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

  /** A call that may have run is retried only if it is idempotent and no output would repeat. */
  #isSafeToRetry(failure: AttemptFailure, grant: TargetGrant): boolean {
    const { plan, relay } = this.#options;
    if (this.#signal.aborted) return false;
    switch (failure.kind) {
      case 'not-run':
        return !this.#mayHaveRun || plan.route.idempotent;
      case 'unproven-refusal':
        return plan.route.idempotent;
      case 'may-have-run':
        return plan.route.idempotent && (!relay.started || grant.resumable);
      case 'cancelled':
        return false;
      // no default
    }
  }

  #toCallFailure(failure: AttemptFailure): CallFailure {
    const base = {
      detail: failure.detail,
      executed: this.#getExecuted(),
      spentTokens: this.#getSpentTokens(),
    };
    if (this.#deadline.aborted) return { ...base, problem: 'deadline-exceeded' };
    switch (failure.kind) {
      case 'not-run':
        return { ...base, problem: 'target-unreachable' };
      case 'unproven-refusal':
        return { ...base, problem: 'outcome-unknown' };
      case 'may-have-run':
        return { ...base, problem: 'target-broken' };
      case 'cancelled':
        return { ...base, problem: 'cancelled' };
      // no default
    }
  }

  #getExecuted(): Executed {
    return this.#mayHaveRun ? 'unknown' : 'no';
  }

  /** An interrupted call may have spent its full reservation, as no lower usage was reported. */
  #getSpentTokens(): number {
    return this.#mayHaveSpent ? this.#options.start.reservation.tokens : 0;
  }

  #toFailedOutcome(failure: CallFailure): CallOutcome {
    const { plan } = this.#options;
    return toFailedOutcome(failure, plan.route.spendMicrosPerCall);
  }

  /** An engine that responds with an error and no usage has generated no tokens. */
  #getEngineUsage({ status }: TargetResponse): EngineUsage {
    const { plan } = this.#options;
    if (status >= FIRST_ERROR_STATUS && !this.#answerReader.usage) return NO_USAGE;
    const estimate = { promptTokens: plan.promptTokens, outputTokens: this.#answerReader.tokens };
    return this.#answerReader.usage ?? { ...estimate, cachedTokens: 0 };
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
