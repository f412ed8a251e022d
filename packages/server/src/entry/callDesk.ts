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
import { inSpan } from '../util/inSpan';
import { activeTraceParent, contextOf } from '../util/traceParent';
import type { Admission, AdmittedCall } from './admittedCall';
import type { CallerRequest } from './callerRequest';
import { headersOf } from './callerRequest';
import type { CallRelay } from './callRelay';
import { HttpAnswerSink } from './httpAnswerSink';
import type { HttpAnswerSinkOptions } from './httpAnswerSink';
import type { OpenCalls } from './openCalls';
import type { ProgramAddress } from './programAddress';
import type { RateGate } from './rateGate';
import { addressOf, parseProgramHeaders } from './programAddress';
import { partitionOfProgram } from './programRequests';

/** Organisation of calls on routes open to all; no declared name can be the same. */
export const OPEN_ORGANISATION = '~open';

const MILLISECONDS_PER_SECOND = 1_000;
const NOT_READY_RETRY_MILLISECONDS = 1_000;

/** Options of {@link CallDesk}. */
export interface CallDeskOptions {
  readonly admission: Admission;
  readonly rates: RateGate;
  readonly relay: CallRelay;
  readonly openCalls: OpenCalls;
  readonly readiness: Readiness;
  /** Revision of the configuration in force. */
  readonly revision: () => number;
  readonly metrics: Metrics;
  readonly tracer: Tracer;
}

/** Serves the calls of one entry: admission, address of the program, relay to its owner. */
export class CallDesk {
  readonly #options: CallDeskOptions;

  constructor(options: CallDeskOptions) {
    this.#options = options;
  }

  /** Serves one call; resolves when its answer, or a problem, was written. */
  async serve(request: CallerRequest): Promise<void> {
    const { tracer, metrics } = this.#options;
    const traceParent = headersOf(request.rawHeaders).traceparent ?? '';
    metrics.increment('entry.calls');
    await context.with(contextOf(traceParent), async () =>
      inSpan(tracer, 'entry', async () => this.#serveInSpan(request)),
    );
  }

  async #serveInSpan(request: CallerRequest): Promise<void> {
    const abort = new AbortController();
    const sink = new HttpAnswerSink({
      response: request.response,
      program: undefined,
      idempotencyKey: undefined,
      explain: (problem) => problem,
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
    const { admission, rates } = this.#options;
    const admitted = admission.admit(request);
    if (admitted.isErr()) return admitted;
    const passed = await rates.pass(admitted.value, request.source, signal);
    return passed.map(() => admitted.value);
  }

  async #relay(request: CallerRequest, call: AdmittedCall, abort: AbortController): Promise<void> {
    const { relay, openCalls } = this.#options;
    const address = CallDesk.#address(request, call);
    const sink = new HttpAnswerSink({
      response: request.response,
      ...CallDesk.#namesOf(address, call),
      explain: (problem) => this.#explain(problem, abort),
    });
    if (address.isErr()) {
      sink.fail(address.error);
      return;
    }
    const { caller } = call;
    const remove =
      caller.kind === 'organisation'
        ? openCalls.add(caller.identity, abort)
        : (): void => undefined;
    try {
      const message = this.#message(request, call, address.value);
      await relay.relay({ request: message, sink, signal: abort.signal });
    } finally {
      remove();
    }
  }

  /** Names that the caller is told, so that it can ask again. */
  static #namesOf(
    address: Result<ProgramAddress, Problem>,
    { caller }: AdmittedCall,
  ): Pick<HttpAnswerSinkOptions, 'program' | 'idempotencyKey'> {
    if (address.isErr() || caller.kind === 'anyone') {
      return { program: undefined, idempotencyKey: undefined };
    }
    const { path, singleCall, idempotencyKey } = address.value;
    return { program: singleCall ? undefined : path, idempotencyKey };
  }

  /** A call that was cut with its key is told so; what ran stays as the owner said. */
  #explain(problem: Problem, abort: AbortController): Problem {
    if (!this.#options.openCalls.wasCut(abort)) return problem;
    return {
      ...problem,
      problem: 'key-withdrawn',
      detail: 'the key was withdrawn during the call',
    };
  }

  /** Callers of open routes have no name, so they have neither programs nor idempotency keys. */
  static #address(request: CallerRequest, call: AdmittedCall): Result<ProgramAddress, Problem> {
    if (call.caller.kind === 'anyone') return ok(addressOf({}));
    return parseProgramHeaders(headersOf(request.rawHeaders))
      .map(addressOf)
      .mapErr((detail) => ({ problem: 'malformed-request', executed: 'no', detail }));
  }

  #message(request: CallerRequest, call: AdmittedCall, address: ProgramAddress): RunCallRequest {
    const { caller, route } = call;
    const organisation =
      caller.kind === 'organisation' ? caller.identity.organisation : OPEN_ORGANISATION;
    return create(RunCallRequestSchema, {
      relayId: randomUUID(),
      organisation,
      program: address.path,
      singleCall: address.singleCall,
      partition: partitionOfProgram({ organisation, path: address.path }),
      ...(address.expectedSequence === undefined
        ? {}
        : { expectedSequence: address.expectedSequence }),
      idempotencyKey: address.idempotencyKey,
      route: call.routeName,
      method: request.method,
      pathAndQuery: call.pathAndQuery,
      headers: call.headers.map(({ name, value }) => ({ name, value })),
      body: request.body,
      traceParent: activeTraceParent(),
      keyName: caller.kind === 'organisation' ? caller.identity.key : '',
      configurationRevision: this.#options.revision(),
      deadlineMilliseconds: Math.ceil(route.deadlineSeconds * MILLISECONDS_PER_SECOND),
    });
  }
}
