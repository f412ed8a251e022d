import type { ServerResponse } from 'node:http';
import type {
  FleetOrganisation,
  FleetRoute,
  TargetService,
} from '../configuration/fleetConfiguration';
import type { CallEnvelope } from './callEnvelope';
import type { CallerStream } from './callerStream';
import type { StreamEvent } from './eventStreamReader';
import { requestDigest } from '../quarantine/requestDigest';
import type { StreamOrigin } from '../resumption/streamOrigin';
import type { ResponseFraming } from '../targets/responseFraming';
import type { RetainedTurn } from '../turns/retainedTurn';
import { DispatchHistory } from './dispatchHistory';

/** Limit of a target under which a call was dispatched. */
export interface DispatchLimit {
  readonly requestsPerSecond: number;
  /** Whole tokens that the holder of the limit had left. */
  readonly remaining: number;
  /** Time that the call waited for a token. */
  readonly waitMilliseconds: number;
}

/** Token budget of a program, as one of its turns states it. */
export interface TurnBudget {
  /** Tokens that all turns of the program may generate. */
  readonly limitTokens: number;
  /** Maximum tokens that the turn generates. */
  readonly turnTokens: number;
}

/** Initial values of a {@link Call}. */
export interface CallParts {
  readonly envelope: CallEnvelope;
  readonly route: FleetRoute;
  readonly organisation: FleetOrganisation | undefined;
  readonly service: TargetService;
  readonly body: Buffer;
  readonly response: ServerResponse;
  readonly arrivedAtMilliseconds: number;
  /** Aborts when the call must end with its final response. */
  readonly endSignal?: AbortSignal;
}

/** An admitted request of a caller, and the state of its response. */
export class Call {
  readonly envelope: CallEnvelope;

  readonly route: FleetRoute;

  readonly organisation: FleetOrganisation | undefined;

  /** Service of the targets that may run the call. */
  service: TargetService;

  readonly body: Buffer;

  readonly response: ServerResponse;

  readonly arrivedAtMilliseconds: number;

  readonly endSignal: AbortSignal | undefined;

  /** Dispatches of the request, and the targets that may have run it. */
  readonly history = new DispatchHistory();

  /** The streamed response; undefined until a target has started one. */
  stream: CallerStream | undefined;

  /** The turn that the system retains of this call; undefined if its route retains none. */
  retainedTurn: RetainedTurn | undefined;

  #digest: string | undefined;

  #lastEventId: string | undefined;

  #hasUnidentifiedData = false;

  #eventCount = 0;

  /** Age at which the request was admitted by the rate limit, in milliseconds. */
  quotaAtMilliseconds = 0;

  /** Age at which its tokens were reserved, in milliseconds. */
  budgetAtMilliseconds = 0;

  /** Age at which the first event or the complete response was sent, in milliseconds. */
  answeredAtMilliseconds = 0;

  /** Instance through which the last dispatch went; undefined if it was direct. */
  forwarder: string | undefined;

  /** Target of the last dispatch. */
  target: string | undefined;

  /** Where the stream began; undefined until its first event. */
  origin: StreamOrigin | undefined;

  /** Software version of the target of the last dispatch; undefined if it announces none. */
  version: string | undefined;

  /** Limit of the target of the last dispatch; undefined if it named none. */
  limit: DispatchLimit | undefined;

  /** How the last response of a target was framed; undefined if there was none. */
  responseFraming: ResponseFraming | undefined;

  /** Error that ended the connection of the last dispatch; undefined if there was none. */
  connectionFailureCode: string | undefined;

  /** Why the last target was chosen. */
  placement = '';

  constructor(parts: CallParts) {
    this.envelope = parts.envelope;
    this.route = parts.route;
    this.organisation = parts.organisation;
    this.service = parts.service;
    this.body = parts.body;
    this.response = parts.response;
    this.arrivedAtMilliseconds = parts.arrivedAtMilliseconds;
    this.endSignal = parts.endSignal;
  }

  /** What targets receive: the body of the caller, after the earlier turns if these are retained. */
  get dispatchBody(): Buffer {
    return this.retainedTurn?.dispatchBody ?? this.body;
  }

  /** Digest of the content and the organisation, equal for calls that repeat a request. */
  get digest(): string {
    const { method, host, pathAndQuery } = this.envelope;
    const organisation = this.organisation?.name ?? '';
    this.#digest ??= requestDigest({ organisation, method, host, pathAndQuery, body: this.body });
    return this.#digest;
  }

  /** Identifies the stream over all attempts of its caller. */
  get streamKey(): string {
    const { id, resumedRequestId } = this.envelope;
    return `${this.organisation?.name ?? ''}/${resumedRequestId ?? id}`;
  }

  /** Whether the caller resumes a stream that broke off in an earlier attempt. */
  get isResumption(): boolean {
    const { lastEventId, resumedRequestId } = this.envelope;
    if (this.route.execution.kind !== 'event-stream') return false;
    return lastEventId !== undefined || resumedRequestId !== undefined;
  }

  /** Identifier of the last event sent to the caller that had one. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Number of events sent to the caller. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Records an event that was sent to the caller. */
  recordEvent({ id, hasData }: StreamEvent): void {
    this.#eventCount += 1;
    if (id) {
      this.#lastEventId = id;
      this.#hasUnidentifiedData = false;
      return;
    }
    this.#hasUnidentifiedData ||= hasData;
  }

  /** Time since the request arrived, in milliseconds. */
  get ageMilliseconds(): number {
    return performance.now() - this.arrivedAtMilliseconds;
  }

  /** Time until the deadline of the final response, in milliseconds. */
  get remainingMilliseconds(): number {
    const allowed = Math.min(
      this.envelope.patienceMilliseconds ?? Infinity,
      this.route.timeoutMilliseconds,
    );
    return allowed - this.ageMilliseconds;
  }

  /** Whether the caller has closed its connection. */
  get isCallerGone(): boolean {
    return this.response.destroyed || this.response.closed;
  }

  /** The budget that the request's tokens count against; undefined if there is none. */
  get turnBudget(): TurnBudget | undefined {
    const { program, prompt } = this.envelope;
    if (program?.tokenBudget === undefined || !prompt) return undefined;
    return { limitTokens: program.tokenBudget, turnTokens: prompt.maximumOutputTokens };
  }

  /** Whether the request must not run more than once, whatever happens to its response. */
  get runsAtMostOnce(): boolean {
    const { execution } = this.route;
    switch (execution.kind) {
      case 'idempotent':
        return false;
      case 'at-most-once':
        return true;
      case 'event-stream':
        return !execution.isResumable;
    }
  }

  /**
   * Whether another dispatch is allowed although the request may have run. A stream resumes after
   * the last event with an identifier, so later data without an identifier would be sent twice.
   */
  get isRepeatable(): boolean {
    return !this.runsAtMostOnce && !this.#hasUnidentifiedData;
  }
}
