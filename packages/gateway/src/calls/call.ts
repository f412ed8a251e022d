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
import { DispatchHistory } from './dispatchHistory';

/** Parts of a {@link Call}. */
export interface CallParts {
  readonly envelope: CallEnvelope;
  readonly route: FleetRoute;
  readonly organisation: FleetOrganisation | undefined;
  readonly service: TargetService;
  readonly body: Buffer;
  readonly response: ServerResponse;
  readonly arrivedAtMilliseconds: number;
  /** Aborts when the call must end with its final answer. */
  readonly ending?: AbortSignal;
}

/** An admitted request of a caller, with what has been sent back so far. */
export class Call {
  readonly envelope: CallEnvelope;

  readonly route: FleetRoute;

  readonly organisation: FleetOrganisation | undefined;

  readonly service: TargetService;

  readonly body: Buffer;

  readonly response: ServerResponse;

  readonly arrivedAtMilliseconds: number;

  readonly ending: AbortSignal | undefined;

  /** Targets that may have run the request. */
  readonly history = new DispatchHistory();

  /** The stream that answers the request; undefined until a target has begun one. */
  stream: CallerStream | undefined;

  #digest: string | undefined;

  #lastEventId: string | undefined;

  #hasUnidentifiedData = false;

  #events = 0;

  /** Age at which the request was admitted within its rate, in milliseconds. */
  quotaAtMilliseconds = 0;

  /** Age at which its tokens were reserved, in milliseconds. */
  budgetAtMilliseconds = 0;

  /** Age at which the first event, or the whole answer, went to the caller, in milliseconds. */
  answeredAtMilliseconds = 0;

  /** Target of the last dispatch. */
  target: string | undefined;

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
    this.ending = parts.ending;
  }

  /** Digest that the call shares with others of the same content and organisation. */
  get digest(): string {
    const { method, host, pathAndQuery } = this.envelope;
    const organisation = this.organisation?.name ?? '';
    this.#digest ??= requestDigest({ organisation, method, host, pathAndQuery, body: this.body });
    return this.#digest;
  }

  /** Identifier of the last event with one that went to the caller. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Events that went to the caller. */
  get events(): number {
    return this.#events;
  }

  /** Takes an event that went to the caller. */
  noteEvent({ id, hasData }: StreamEvent): void {
    this.#events += 1;
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

  /** Time until the request must have its final answer, in milliseconds. */
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

  /**
   * Whether another dispatch is allowed although the request may have run. A stream goes on after
   * the last event with an identifier; data that came after it without one would come twice.
   */
  get isRepeatable(): boolean {
    const { execution } = this.route;
    switch (execution.kind) {
      case 'idempotent':
        return true;
      case 'at-most-once':
        return false;
      case 'event-stream':
        return execution.isResumable && !this.#hasUnidentifiedData;
    }
  }
}
