import type { Logger, Metrics } from '@limpetnotch/observability';
import { Deferred, delay } from '@limpetnotch/supervision';
import type { Call } from '../calls/call';
import { isMainLineTurn } from '../calls/isMainLineTurn';
import type { FleetTarget } from '../targets/fleetTarget';
import type { TargetLoads } from '../targets/targetLoads';
import { RecentKeys } from '../util/recentKeys';
import { computeLongestWait } from './computeLongestWait';
import type { LimitGate } from './limitGate';
import type { QueuedRequest, WaitEnd } from './limitedService';
import { LimitedService } from './limitedService';
import type { LimitWait } from './limitWait';

/** Programs that are remembered as under way; the least recently served are evicted. */
const MAXIMUM_PROGRAMS = 20_000;

/** Targets that are chosen for one dispatch before the request counts as refused by all. */
const MAXIMUM_CHOICES = 32;

const MILLISECONDS_PER_SECOND = 1_000;

/** Whether a call may be sent to the chosen target. */
export type LimitAdmission =
  | { readonly kind: 'admitted' }
  /** The situation has changed; the target must be chosen again. */
  | { readonly kind: 'choose-again' }
  | { readonly kind: 'refused'; readonly retryAfterSeconds: number };

/** A chosen target and the others that could serve the call. */
export interface LimitedChoice {
  readonly target: FleetTarget;
  /** Only the chosen target if the call is repeated where it may have run. */
  readonly candidates: readonly FleetTarget[];
  readonly isRepeat: boolean;
}

/** Dependencies of a {@link LimitedDispatch}. */
export interface LimitedDispatchParts {
  readonly gate: LimitGate;
  readonly loads: TargetLoads;
  /** Number of instances that share the targets. */
  readonly instanceCount: () => number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const toProgramKey = ({ organisation, envelope }: Call): string | undefined =>
  envelope.program && `${organisation?.name ?? ''}/${envelope.program.id}`;

const isCallEnded = (call: Call): boolean =>
  call.isCallerGone || call.endSignal?.aborted === true || call.remainingMilliseconds <= 0;

/** Resolves when the caller has left or the instance ends its last calls. */
const untilCallEnds = async (call: Call, signal: AbortSignal): Promise<WaitEnd> => {
  const ended = new Deferred<WaitEnd>();
  const end = (): void => ended.resolve('ended');
  call.response.once('close', end);
  call.endSignal?.addEventListener('abort', end);
  signal.addEventListener('abort', end);
  if (isCallEnded(call)) end();
  const result = await ended.promise;
  call.response.removeListener('close', end);
  call.endSignal?.removeEventListener('abort', end);
  return result;
};

/**
 * Admits dispatches within the limits that targets name. While another target has room, a call uses
 * that one. If none has, calls wait in a queue, and those that can't be served in time are refused
 * immediately.
 */
export class LimitedDispatch {
  readonly #parts: LimitedDispatchParts;

  readonly #services = new Map<string, LimitedService>();

  readonly #servedPrograms = new RecentKeys(MAXIMUM_PROGRAMS);

  constructor(parts: LimitedDispatchParts) {
    this.#parts = parts;
  }

  /** Records that a call was served, so that its program counts as under way. */
  recordServed(call: Call): void {
    const programKey = toProgramKey(call);
    if (programKey !== undefined) this.#servedPrograms.add(programKey);
  }

  /** Whether the program of a call has been served before, so that a refusal wastes that work. */
  isUnderWay(call: Call): boolean {
    const programKey = toProgramKey(call);
    if (programKey === undefined) return false;
    return !isMainLineTurn(call.envelope) || this.#servedPrograms.has(programKey);
  }

  /** Records that a call has ended at its target. */
  recordEnd(call: Call): void {
    this.#services.get(call.service.name)?.recordEnd();
  }

  /**
   * Returns the candidates that may be chosen: those with room, or all of them if none has room or
   * names a limit. Of targets with and without limits, only the kind is kept that suits the call.
   */
  filterByRoom(
    call: Call,
    candidates: readonly FleetTarget[],
    estimateCost: (target: FleetTarget) => number,
  ): readonly FleetTarget[] {
    const { gate } = this.#parts;
    if (!candidates.some((candidate) => gate.isLimited(candidate))) return candidates;
    const service = this.#getService(call);
    service.setTargets(candidates);
    const withRoom = candidates.filter((candidate) => service.hasRoom(candidate));
    const unlimited = withRoom.filter((candidate) => !gate.isLimited(candidate));
    if (unlimited.length === withRoom.length) {
      return withRoom.length > 0 ? withRoom : candidates;
    }
    if (unlimited.length === 0) return withRoom;
    const cost = Math.min(...unlimited.map(estimateCost));
    return service.prefersLimit(cost)
      ? withRoom.filter((candidate) => gate.isLimited(candidate))
      : unlimited;
  }

  /** Admits a call to its chosen target, or waits until the target should be chosen again. */
  async admit(call: Call, choice: LimitedChoice, wait: LimitWait): Promise<LimitAdmission> {
    const { target, candidates, isRepeat } = choice;
    const admitted = call;
    admitted.limit = undefined;
    if (!candidates.some((candidate) => this.#parts.gate.isLimited(candidate))) {
      return { kind: 'admitted' };
    }
    const mutableWait = wait;
    mutableWait.choices += 1;
    if (wait.choices > MAXIMUM_CHOICES) return this.#refuse(call, wait);
    if (isRepeat) return this.#waitForTarget(call, target, wait);
    const service = this.#getService(call);
    service.setTargets(candidates);
    const isQueued = service.size > 0 && !wait.hasTurn;
    if (isQueued || !service.hasRoom(target)) return this.#queue(call, service, wait);
    mutableWait.hasTurn = false;
    const admission = await this.#takeToken(call, target, wait);
    if (admission.kind === 'admitted') service.recordSent(call.organisation?.name ?? '');
    return admission;
  }

  /** Waits for the limit of the one target at which a call may be repeated. */
  async #waitForTarget(call: Call, target: FleetTarget, wait: LimitWait): Promise<LimitAdmission> {
    const milliseconds = this.#parts.gate.getWaitMilliseconds(target);
    if (wait.milliseconds + milliseconds > computeLongestWait(call)) {
      return this.#refuse(call, wait);
    }
    await delay(milliseconds, call.endSignal);
    return this.#takeToken(call, target, wait);
  }

  async #takeToken(call: Call, target: FleetTarget, wait: LimitWait): Promise<LimitAdmission> {
    const decision = await this.#parts.gate.acquire(target);
    const limited = call;
    switch (decision.kind) {
      case 'denied':
        return { kind: 'choose-again' };
      case 'granted':
        limited.limit = {
          requestsPerSecond: decision.requestsPerSecond,
          remaining: decision.remaining,
          waitMilliseconds: wait.milliseconds,
        };
        this.#parts.metrics.increment('limits.granted');
        return { kind: 'admitted' };
      case 'unlimited':
        return { kind: 'admitted' };
    }
  }

  async #queue(call: Call, service: LimitedService, wait: LimitWait): Promise<LimitAdmission> {
    const turn = new Deferred<WaitEnd>();
    const request = this.#toRequest(call, service, wait, (end) => turn.resolve(end));
    const waited = new AbortController();
    service.add(request);
    const end = await Promise.race([turn.promise, untilCallEnds(call, waited.signal)]);
    waited.abort();
    service.remove(request);
    const mutableWait = wait;
    switch (end) {
      case 'turn':
        mutableWait.hasTurn = true;
        this.#parts.metrics.distribution('limits.held-milliseconds', wait.milliseconds);
        return { kind: 'choose-again' };
      case 'refused':
        return this.#refuse(call, wait);
      case 'ended':
        // The caller of this method checks how the call has ended.
        return { kind: 'admitted' };
    }
  }

  #toRequest(
    call: Call,
    service: LimitedService,
    wait: LimitWait,
    finish: QueuedRequest['finish'],
  ): QueuedRequest {
    const { envelope, organisation, route } = call;
    const now = performance.now();
    const finishMilliseconds = envelope.program?.finishMilliseconds ?? Infinity;
    return {
      isUnderWay: this.isUnderWay(call),
      priority: organisation?.priority ?? route.priority,
      finishAtMilliseconds: call.arrivedAtMilliseconds + finishMilliseconds,
      waitUntilMilliseconds: now + computeLongestWait(call) - wait.milliseconds,
      arrivedAtMilliseconds: call.arrivedAtMilliseconds,
      organisationShare: service.getOrganisationShare(organisation?.name ?? ''),
      finish,
    };
  }

  #refuse(call: Call, wait: LimitWait): LimitAdmission {
    const service = this.#getService(call);
    const longest = computeLongestWait(call);
    const retryAfterSeconds = service.computeReturn(longest) / MILLISECONDS_PER_SECOND;
    const { requestsPerSecond, firstMilliseconds } = service.throughput;
    this.#parts.metrics.increment('limits.refused');
    this.#parts.logger.info('limits.refused', {
      request: call.envelope.id,
      program: call.envelope.program?.id,
      organisation: call.organisation?.name,
      service: call.service.name,
      perSecond: requestsPerSecond,
      firstMilliseconds: Math.round(firstMilliseconds),
      waiting: service.size,
      heldMilliseconds: Math.round(wait.milliseconds),
      longestMilliseconds: Math.round(longest),
      retryAfterSeconds,
    });
    return { kind: 'refused', retryAfterSeconds };
  }

  #getService({ service: { name } }: Call): LimitedService {
    const existing = this.#services.get(name);
    if (existing) return existing;
    const service = new LimitedService(this.#parts);
    this.#services.set(name, service);
    return service;
  }
}
