import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Logger, Metrics } from '@limpetnotch/observability';
import { Deferred } from '@limpetnotch/supervision';
import type { BudgetGate } from '../budgets/budgetGate';
import type { FleetState } from '../fleet/fleetState';
import type { ProgramStarts } from '../limits/programStarts';
import type { LoadShedding } from '../overload/loadShedding';
import type { ProgramStage, QuotaGate, QuotaRefusal, QuotaRequest } from '../quotas/quotaGate';
import type { ResumptionGate } from '../resumption/resumptionGate';
import type { RequestQuarantine } from '../quarantine/requestQuarantine';
import type { DrainAdmission } from '../shutdown/admitDuringDrain';
import { admitCall } from './admitCall';
import type { ResponseWriter } from './responseWriter';
import { Call } from './call';
import type { CallEnvelope } from './callEnvelope';
import type { CallResult, CallRunner } from './callRunner';
import { chooseDestination } from './chooseDestination';
import type { UnfinishedRequest } from '../ingress/unfinishedRequest';
import { isMainLineTurn } from './isMainLineTurn';
import type { OpenCall } from './openCall';
import type { OpenCalls } from './openCalls';
import { readBody } from './readBody';
import { SHUTDOWN_REFUSAL } from './shutdownRefusal';
import { toBodyRefusal } from './toBodyRefusal';
import type { TurnRetention } from '../turns/turnRetention';
import type { EnvelopeError, WireCodec } from './wireCodec';

/** Share of its objective that a program is expected to take on idle targets. */
const EXPECTED_OBJECTIVE_RATIO = 0.6;

/** Objective of a program whose caller does not set one. */
const DEFAULT_OBJECTIVE_MILLISECONDS = 4_000;

/** Dependencies of a {@link CallGateway}. */
export interface CallGatewayParts {
  readonly codec: WireCodec;
  readonly fleet: FleetState;
  readonly quotas: QuotaGate;
  readonly budgets: BudgetGate;
  readonly runner: CallRunner;
  readonly writer: ResponseWriter;
  readonly openCalls: OpenCalls;
  readonly quarantine: RequestQuarantine;
  readonly resumptions: Pick<ResumptionGate, 'admit'>;
  readonly turnRetention: Pick<TurnRetention, 'begin'>;
  readonly programStarts: Pick<ProgramStarts, 'admit'>;
  readonly shedding: Pick<LoadShedding, 'isActive' | 'admit' | 'recordServed'>;
  /** Decides during a shutdown whether a request with this remaining time may still start. */
  readonly admitDuringDrain: (remainingMilliseconds: number) => DrainAdmission;
  /** Returns the accounting of a request's memory. */
  readonly findUnfinished?: (response: ServerResponse) => UnfinishedRequest | undefined;
  /** Requests that may run at once, as each of them needs a descriptor. */
  readonly maximumRunning?: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const RUNNING_RETRY_AFTER_SECONDS = 1;

/** Callers choose program identifiers, so the organisation makes the key unique. */
const toProgramKey = ({
  envelope,
  organisation,
}: Pick<Call, 'envelope' | 'organisation'>): string =>
  `${organisation?.name ?? ''}/${envelope.program?.id ?? ''}`;

/** Serves requests of callers: validates them, applies rate limits and budgets, and runs them. */
export class CallGateway {
  readonly #parts: CallGatewayParts;

  #runningCount = 0;

  constructor(parts: CallGatewayParts) {
    this.#parts = parts;
  }

  /**
   * Refuses a request that this instance can't take on, right after its head was read; returns
   * whether it did. While an instance is behind, a refusal must cost far less than a request.
   */
  refuseUnderLoad(request: IncomingMessage, response: ServerResponse): boolean {
    if (!this.#parts.shedding.isActive) return false;
    try {
      return this.#refuseUnderLoad(request, response);
    } catch (error) {
      this.#failCall(response, error);
      return true;
    }
  }

  #refuseUnderLoad(request: IncomingMessage, response: ServerResponse): boolean {
    const { shedding, codec, fleet, writer, metrics, logger } = this.#parts;
    const envelope = codec.decodeRequest(request);
    if ('kind' in envelope) return false;
    const organisation =
      envelope.key === undefined ? undefined : fleet.index?.findOrganisation(envelope.key);
    const admission = shedding.admit(envelope, toProgramKey({ envelope, organisation }));
    if (admission.kind === 'admitted') return false;
    const { retryAfterSeconds, waitMilliseconds } = admission;
    const reason = 'the instance is behind';
    metrics.increment('call.results', 1, { result: 'unavailable' });
    logger.info('call.refused', {
      request: envelope.id,
      refusal: 'unavailable',
      reason,
      program: envelope.program?.id,
      isProgramStart: admission.isProgramStart,
      waitMilliseconds: Math.round(waitMilliseconds),
      retryAfterSeconds,
    });
    writer.refuse(response, envelope, { kind: 'unavailable', reason, retryAfterSeconds });
    return true;
  }

  /** Serves one request until it ends; never rejects. */
  async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { openCalls } = this.#parts;
    const openCall = openCalls.begin(response);
    try {
      await this.#serve(request, openCall);
    } catch (error) {
      this.#failCall(response, error);
    } finally {
      openCalls.finish(openCall);
    }
  }

  /** Ends a request that failed for an unforeseen error. */
  #failCall(response: ServerResponse, error: unknown): void {
    const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
    this.#parts.logger.error('call.failed', { reason });
    response.destroy();
  }

  async #serve(request: IncomingMessage, openCall: OpenCall): Promise<void> {
    const { codec, fleet, writer } = this.#parts;
    const admitted = openCall;
    const { response } = openCall;
    const envelope = codec.decodeRequest(request);
    if (!('kind' in envelope)) admitted.id = envelope.id;
    const maximumBytes = fleet.index?.configuration.limits.bodyBytes ?? 0;
    const unfinished = this.#parts.findUnfinished?.(response);
    if (this.#refuseFromHead(envelope, openCall)) {
      request.on('data', ({ length }: Buffer) => unfinished?.recordReceived(length));
      return;
    }
    const shutdownRefusal = this.#refuseUndispatchedAtShutdown(openCall);
    const reading = readBody(request, maximumBytes || Infinity, unfinished);
    const body = await Promise.race([reading, shutdownRefusal]);
    if ('kind' in body) {
      this.#finish('kind' in envelope ? undefined : envelope, openCall, body);
      return;
    }
    if (body.isErr()) {
      const refusal = toBodyRefusal(body.error);
      if (!refusal) return;
      admitted.end = 'refused';
      response.setHeader('connection', 'close');
      writer.refuse(response, 'kind' in envelope ? undefined : envelope, refusal);
      return;
    }
    if ('kind' in envelope) return;
    const result = await Promise.race([
      this.#runWithinLimit(envelope, body.value, openCall),
      shutdownRefusal,
    ]);
    this.#finish(envelope, openCall, result);
  }

  /** Refuses a request that its head already rules out, so that its body takes no memory. */
  #refuseFromHead(envelope: CallEnvelope | EnvelopeError, openCall: OpenCall): boolean {
    if ('kind' in envelope) {
      const refused = openCall;
      refused.end = 'refused';
      const refusal = { kind: 'malformed', detail: envelope.detail } as const;
      this.#parts.writer.refuse(openCall.response, undefined, refusal);
      return true;
    }
    const admission = admitCall(this.#parts.fleet, envelope);
    if (admission.kind === 'admitted' || admission.refusal.kind === 'unavailable') return false;
    this.#finish(envelope, openCall, admission);
    return true;
  }

  async #runWithinLimit(
    envelope: CallEnvelope,
    body: Buffer,
    openCall: OpenCall,
  ): Promise<CallResult> {
    if (this.#runningCount >= (this.#parts.maximumRunning ?? Infinity)) {
      const retryAfterSeconds = RUNNING_RETRY_AFTER_SECONDS;
      const reason = 'too many requests are running';
      return { kind: 'refused', refusal: { kind: 'unavailable', reason, retryAfterSeconds } };
    }
    this.#runningCount += 1;
    try {
      return await this.#admitAndRun(envelope, body, openCall);
    } finally {
      this.#runningCount -= 1;
    }
  }

  /** Resolves to a refusal when the instance ends its last calls before this one is dispatched. */
  async #refuseUndispatchedAtShutdown(openCall: OpenCall): Promise<CallResult> {
    const ended = new Deferred<CallResult>();
    const end = (): void => {
      if (!openCall.wasDispatched) ended.resolve({ kind: 'refused', refusal: SHUTDOWN_REFUSAL });
    };
    if (openCall.endSignal.aborted) end();
    openCall.endSignal.addEventListener('abort', end);
    return ended.promise;
  }

  #finish(envelope: CallEnvelope | undefined, openCall: OpenCall, result: CallResult): void {
    const { metrics, logger, writer } = this.#parts;
    metrics.increment('call.results', 1, {
      result: result.kind === 'refused' ? result.refusal.kind : result.kind,
    });
    const { ageMilliseconds } = openCall;
    metrics.distribution('call.duration-milliseconds', ageMilliseconds, { result: result.kind });
    const finished = openCall;
    finished.end = result.kind === 'delivered' ? 'served' : result.kind;
    if (result.kind === 'delivered') this.#parts.shedding.recordServed();
    if (result.kind !== 'refused') return;
    const { refusal } = result;
    logger.info('call.refused', {
      request: openCall.id,
      refusal: refusal.kind,
      reason: 'reason' in refusal ? refusal.reason : undefined,
      program: envelope?.program?.id,
      ageMilliseconds: Math.round(ageMilliseconds),
      ...(refusal.kind === 'quarantined' && this.#parts.quarantine.describe(refusal.digest)),
    });
    writer.refuse(openCall.response, envelope, refusal);
  }

  async #admitAndRun(
    envelope: CallEnvelope,
    body: Buffer,
    openCall: OpenCall,
  ): Promise<CallResult> {
    const { fleet } = this.#parts;
    const admission = admitCall(fleet, envelope);
    if (admission.kind === 'refused') return admission;
    const { route, organisation } = admission;
    const service = fleet.index?.findService(chooseDestination(route, envelope));
    if (!service) return { kind: 'refused', refusal: { kind: 'unknown-route' } };
    const call = new Call({
      envelope,
      route,
      organisation,
      service,
      body,
      response: openCall.response,
      arrivedAtMilliseconds: openCall.arrivedAtMilliseconds,
      endSignal: openCall.endSignal,
    });
    const admitted = openCall;
    admitted.call = call;
    const drain = this.#parts.admitDuringDrain(call.remainingMilliseconds);
    if (drain.kind === 'refused') {
      const { retryAfterSeconds } = drain;
      return { kind: 'refused', refusal: { ...SHUTDOWN_REFUSAL, retryAfterSeconds } };
    }
    if (this.#parts.quarantine.stageOf(call.digest) === 'quarantined') {
      return { kind: 'refused', refusal: { kind: 'quarantined', digest: call.digest } };
    }
    const retention = await this.#parts.turnRetention.begin(call);
    if (retention.kind === 'refused') return retention;
    const resumption = await this.#admitResumption(call);
    if (resumption.kind === 'refused') return resumption;
    const start = this.#admitProgram(call);
    if (start.kind === 'refused') return start;
    const result = await this.#runWithinRate(call);
    this.#logServed(call, result);
    return result;
  }

  /** Refuses to resume a stream whose version is unknown, so that its caller starts anew at once. */
  async #admitResumption(call: Call): Promise<CallResult | { readonly kind: 'admitted' }> {
    if (!call.isResumption) return { kind: 'admitted' };
    const decision = await this.#parts.resumptions.admit(call);
    const refuse = (cause: string): CallResult => {
      const reason = `the stream can't be resumed: ${cause}`;
      return { kind: 'refused', refusal: { kind: 'unavailable', reason, retryAfterSeconds: 0 } };
    };
    if (decision.kind === 'refused') return refuse(decision.reason);
    const service = this.#parts.fleet.index?.findService(decision.origin.service);
    if (!service) return refuse('other-service');
    const resumed = call;
    resumed.origin = decision.origin;
    resumed.service = service;
    return { kind: 'admitted' };
  }

  /** Refuses a request that would start a program which the targets' limits can't take. */
  #admitProgram(call: Call): CallResult | { readonly kind: 'admitted' } {
    if (!call.envelope.program) return { kind: 'admitted' };
    const decision = this.#parts.programStarts.admit(call, toProgramKey(call));
    if (decision.kind === 'admitted') return decision;
    const { retryAfterSeconds } = decision;
    const reason = 'targets are at their limits';
    return { kind: 'refused', refusal: { kind: 'unavailable', reason, retryAfterSeconds } };
  }

  #logServed(call: Call, result: CallResult): void {
    if (result.kind === 'refused') return;
    const { metrics } = this.#parts;
    const { answeredAtMilliseconds, budgetAtMilliseconds } = call;
    metrics.distribution('call.first-answer-milliseconds', answeredAtMilliseconds);
    metrics.distribution('call.grant-milliseconds', budgetAtMilliseconds);
    this.#parts.logger.info('call.served', {
      request: call.envelope.id,
      route: call.route.name,
      organisation: call.organisation?.name,
      program: call.envelope.program?.id,
      result: result.kind,
      status: 'status' in result ? result.status : undefined,
      target: call.history.lastTargetId,
      version: call.version,
      resumes: call.envelope.resumedRequestId,
      framing: call.responseFraming,
      connectionFailure: call.connectionFailureCode,
      placement: call.placement,
      forwarder: call.forwarder,
      limitPerSecond: call.limit?.requestsPerSecond,
      limitRemaining: call.limit?.remaining,
      limitWaitMilliseconds: call.limit && Math.round(call.limit.waitMilliseconds),
      dispatches: call.history.runs,
      quotaAtMilliseconds: Math.round(call.quotaAtMilliseconds),
      budgetAtMilliseconds: Math.round(call.budgetAtMilliseconds),
      answeredAtMilliseconds: Math.round(call.answeredAtMilliseconds),
      endedAtMilliseconds: Math.round(call.ageMilliseconds),
      events: call.eventCount,
    });
  }

  /**
   * Admits a program by its rate, then reserves its budget, and takes a token of the rate last, so
   * that programs which run away don't use up the rate.
   */
  async #runWithinRate(call: Call): Promise<CallResult> {
    const { organisation } = call;
    if (this.#isKnownSpent(call)) return { kind: 'refused', refusal: { kind: 'budget-spent' } };
    if (!organisation?.rate) return this.#runWithinBudget(call, () => this.#parts.runner.run(call));
    const programKey = call.envelope.program && toProgramKey(call);
    const request = { organisation, programKey, stage: this.#getProgramStage(call) };
    const admission = await this.#parts.quotas.admit(request);
    if (admission.kind === 'refused') return this.#refuseOverRate(call, request, admission);
    return this.#runWithinBudget(call, () => this.#takeTokenAndRun(call, request));
  }

  async #takeTokenAndRun(call: Call, request: QuotaRequest): Promise<CallResult> {
    const quota = await this.#parts.quotas.take(request);
    if (quota.kind === 'refused') return this.#refuseOverRate(call, request, quota);
    const admitted = call;
    admitted.quotaAtMilliseconds = call.ageMilliseconds;
    const result = await this.#parts.runner.run(call);
    if (call.history.runs === 0) quota.returnToken();
    return result;
  }

  #refuseOverRate(
    call: Call,
    { organisation, stage }: QuotaRequest,
    refusal: QuotaRefusal,
  ): CallResult {
    const { retryAfterSeconds } = refusal;
    this.#parts.logger.info('quota.refused', {
      request: call.envelope.id,
      program: call.envelope.program?.id,
      organisation: organisation.name,
      stage: stage.kind,
      reason: refusal.reason,
      perSecond: organisation.rate?.perSecond,
      burst: organisation.rate?.burst,
      tokens: Math.floor(refusal.tokens),
      demandPerSecond: Math.round(refusal.demandPerSecond),
      programs: refusal.demand?.programs,
      unspentTokens: refusal.demand && Math.floor(refusal.demand.unspentTokens),
      retryAfterSeconds,
    });
    return { kind: 'refused', refusal: { kind: 'over-rate', retryAfterSeconds } };
  }

  /** Only a turn of a program's main session can be its first; its other requests come later. */
  #getProgramStage(call: Call): ProgramStage {
    if (!isMainLineTurn(call.envelope)) return { kind: 'under-way' };
    const objective = call.envelope.program?.finishMilliseconds ?? DEFAULT_OBJECTIVE_MILLISECONDS;
    return { kind: 'new-program', expectedMilliseconds: objective * EXPECTED_OBJECTIVE_RATIO };
  }

  #isKnownSpent(call: Call): boolean {
    const { turnBudget } = call;
    if (!turnBudget) return false;
    return this.#parts.budgets.isKnownSpent(toProgramKey(call), turnBudget.turnTokens);
  }

  async #runWithinBudget(call: Call, run: () => Promise<CallResult>): Promise<CallResult> {
    const { turnBudget } = call;
    if (!turnBudget) return run();
    const { program } = call.envelope;
    const decision = await this.#parts.budgets.reserve({
      programId: toProgramKey(call),
      ...turnBudget,
      isContinuation: program?.session !== undefined && program.session !== program.id,
    });
    switch (decision.kind) {
      case 'spent':
        return { kind: 'refused', refusal: { kind: 'budget-spent' } };
      case 'unavailable': {
        const { retryAfterSeconds } = decision;
        return {
          kind: 'refused',
          refusal: { kind: 'unavailable', reason: 'no budget grant', retryAfterSeconds },
        };
      }
      case 'reserved': {
        const reserved = call;
        reserved.budgetAtMilliseconds = call.ageMilliseconds;
        const result = await run();
        decision.settle(call.eventCount * (call.service.engine?.tokensPerEvent ?? 0));
        return result;
      }
    }
  }
}
