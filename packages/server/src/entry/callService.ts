import { randomUUID } from 'node:crypto';
import { create } from '@bufbuild/protobuf';
import type { Tracer } from '@opentelemetry/api';
import { context } from '@opentelemetry/api';
import type { Metrics } from '@limpetnotch/observability';
import type { RunCallRequest } from '@limpetnotch/peer-protocol';
import { RunCallRequestSchema } from '@limpetnotch/peer-protocol';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Readiness } from '../http/readiness';
import type { Problem } from '../problems/problem';
import { withSpan } from '../util/withSpan';
import { getActiveTraceParent, extractContext } from '../util/traceParent';
import type { Admission, AdmittedCall } from './admittedCall';
import type { CallerRequest } from './callerRequest';
import { parseRawHeaders } from './callerRequest';
import type { CallRelay } from './callRelay';
import { HttpAnswerSink } from './httpAnswerSink';
import type { HttpAnswerSinkOptions } from './httpAnswerSink';
import type { ActiveCalls } from './activeCalls';
import type { ProgramAddress } from './programAddress';
import type { CallRateLimiter } from './callRateLimiter';
import { toProgramAddress, parseProgramHeaders } from './programAddress';
import { getProgramPartition } from './programRequests';

/** Organisation of calls on open routes; a declared name cannot contain the tilde. */
export const OPEN_ORGANISATION = '~open';

const MILLISECONDS_PER_SECOND = 1_000;
const NOT_READY_RETRY_MILLISECONDS = 1_000;

/** Options of {@link CallService}. */
export interface CallServiceOptions {
  readonly admission: Admission;
  readonly rateLimiter: CallRateLimiter;
  readonly relay: CallRelay;
  readonly activeCalls: ActiveCalls;
  readonly readiness: Readiness;
  /** Returns the revision of the configuration in force. */
  readonly getRevision: () => number;
  readonly metrics: Metrics;
  readonly tracer: Tracer;
}

/** Serves the calls of one entry: admits them, addresses their program and relays to its owner. */
export class CallService {
  readonly #options: CallServiceOptions;

  constructor(options: CallServiceOptions) {
    this.#options = options;
  }

  /** Serves one call; resolves when its answer or a problem has been written. */
  async serve(request: CallerRequest): Promise<void> {
    const { tracer, metrics } = this.#options;
    const traceParent = parseRawHeaders(request.rawHeaders).traceparent ?? '';
    metrics.increment('entry.calls');
    await context.with(extractContext(traceParent), async () =>
      withSpan(tracer, 'entry', async () => this.#serveInSpan(request)),
    );
  }

  async #serveInSpan(request: CallerRequest): Promise<void> {
    const abort = new AbortController();
    const sink = new HttpAnswerSink({
      response: request.response,
      program: undefined,
      idempotencyKey: undefined,
      mapProblem: (problem) => problem,
    });
    request.response.once('close', () => abort.abort());
    const admitted = await this.#admit(request, abort.signal);
    if (admitted.isErr()) {
      this.#options.metrics.increment('entry.refusals', 1, { problem: admitted.error.problem });
      sink.fail(admitted.error);
      return;
    }
    await this.#relay(request, admitted.value, abort);
  }

  async #admit(
    request: CallerRequest,
    signal: AbortSignal,
  ): Promise<Result<AdmittedCall, Problem>> {
    const state = this.#options.readiness.state();
    if (state.kind === 'not-ready' && state.reason !== 'draining') {
      return err({
        problem: 'not-ready',
        executed: 'no',
        detail: state.reason,
        retryAfterMilliseconds: NOT_READY_RETRY_MILLISECONDS,
      });
    }
    const { admission, rateLimiter } = this.#options;
    const admitted = admission.admit(request);
    if (admitted.isErr()) return admitted;
    const acquired = await rateLimiter.acquire(admitted.value, request.source, signal);
    return acquired.map(() => admitted.value);
  }

  async #relay(request: CallerRequest, call: AdmittedCall, abort: AbortController): Promise<void> {
    const { relay, activeCalls } = this.#options;
    const address = CallService.#parseAddress(request, call);
    const sink = new HttpAnswerSink({
      response: request.response,
      ...CallService.#getResponseNames(address, call),
      mapProblem: (problem) => this.#toCallerProblem(problem, abort),
    });
    if (address.isErr()) {
      sink.fail(address.error);
      return;
    }
    const { caller } = call;
    const remove =
      caller.kind === 'organisation'
        ? activeCalls.add(caller.identity, abort)
        : (): void => undefined;
    try {
      const runRequest = this.#createRequest(request, call, address.value);
      await relay.relay({ request: runRequest, sink, signal: abort.signal });
    } finally {
      remove();
    }
  }

  /** Returns the names sent to the caller, with which it can repeat the call. */
  static #getResponseNames(
    address: Result<ProgramAddress, Problem>,
    { caller }: AdmittedCall,
  ): Pick<HttpAnswerSinkOptions, 'program' | 'idempotencyKey'> {
    if (address.isErr() || caller.kind === 'anyone') {
      return { program: undefined, idempotencyKey: undefined };
    }
    const { path, singleCall, idempotencyKey } = address.value;
    return { program: singleCall ? undefined : path, idempotencyKey };
  }

  /** Reports an abort by a withdrawn key as such; `executed` stays as the owner reported it. */
  #toCallerProblem(problem: Problem, abort: AbortController): Problem {
    if (!this.#options.activeCalls.wasKeyWithdrawn(abort)) return problem;
    return {
      ...problem,
      problem: 'key-withdrawn',
      detail: 'the key was withdrawn during the call',
    };
  }

  /** Callers of open routes are unnamed, so they have neither programs nor idempotency keys. */
  static #parseAddress(
    request: CallerRequest,
    call: AdmittedCall,
  ): Result<ProgramAddress, Problem> {
    if (call.caller.kind === 'anyone') return ok(toProgramAddress({}));
    return parseProgramHeaders(parseRawHeaders(request.rawHeaders))
      .map(toProgramAddress)
      .mapErr((detail) => ({ problem: 'malformed-request', executed: 'no', detail }));
  }

  #createRequest(
    request: CallerRequest,
    call: AdmittedCall,
    address: ProgramAddress,
  ): RunCallRequest {
    const { caller, route } = call;
    const organisation =
      caller.kind === 'organisation' ? caller.identity.organisation : OPEN_ORGANISATION;
    return create(RunCallRequestSchema, {
      relayId: randomUUID(),
      organisation,
      program: address.path,
      singleCall: address.singleCall,
      partition: getProgramPartition({ organisation, path: address.path }),
      ...(address.expectedSequence === undefined
        ? {}
        : { expectedSequence: address.expectedSequence }),
      idempotencyKey: address.idempotencyKey,
      route: call.routeName,
      method: request.method,
      pathAndQuery: call.pathAndQuery,
      headers: call.headers.map(({ name, value }) => ({ name, value })),
      body: request.body,
      traceParent: getActiveTraceParent(),
      keyName: caller.kind === 'organisation' ? caller.identity.key : '',
      configurationRevision: this.#options.getRevision(),
      deadlineMilliseconds: Math.ceil(route.deadlineSeconds * MILLISECONDS_PER_SECOND),
    });
  }
}
