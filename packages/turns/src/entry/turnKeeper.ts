import type { Logger, Metrics } from '@limpetnotch/observability';
import type { Turn } from '@limpetnotch/peer-protocol';
import { StoreTurnsResponse_Result as StoreResult } from '@limpetnotch/peer-protocol';
import { Deferred } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { rankHolders } from '../decisions/rankHolders';
import type { StorageInstance } from '../decisions/storageInstance';
import type { TurnClients } from '../storage/turnClients';
import type { CopyRequirement } from './copyPlan';
import { CopyPlan } from './copyPlan';
import type { StorageDirectory } from './storageDirectory';

/**
 * Time without a response after which a turn is also sent to the next instance. A sync takes up to
 * 2 ms, and the round trip to another availability zone 3 ms.
 */
const SLOW_MILLISECONDS = 100;

/** A call to an instance that is frozen ends after this time. */
const MAXIMUM_CALL_MILLISECONDS = 2_000;

/** Why a turn could not be stored. */
export type KeepError =
  | { readonly kind: 'too-few-copies'; readonly storedAt: readonly string[] }
  | { readonly kind: 'timed-out'; readonly storedAt: readonly string[] };

/** Parts of a {@link TurnKeeper}. */
export interface TurnKeeperParts {
  readonly directory: StorageDirectory;
  readonly clients: TurnClients;
  readonly requirement: CopyRequirement;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Stores turns on as many storage instances as may be lost at the same time, and one more. */
export class TurnKeeper {
  readonly #parts: TurnKeeperParts;

  constructor(parts: TurnKeeperParts) {
    this.#parts = parts;
  }

  /** Whether enough instances are believed to respond for a turn to be stored. */
  get isAvailable(): boolean {
    const { directory, requirement } = this.#parts;
    const usable = directory.known.filter(({ state }) => state === 'serving');
    const zones = new Set(usable.map(({ availabilityZone }) => availabilityZone));
    return usable.length >= requirement.copies && zones.size >= requirement.availabilityZones;
  }

  /** Stores a turn; resolves when it survives every tolerated loss, or can't be stored in time. */
  async keep(turn: Turn, deadlineMilliseconds: number): Promise<Result<void, KeepError>> {
    const { metrics, logger } = this.#parts;
    const startedAt = performance.now();
    const plan = new CopyPlan(this.#rank(turn), this.#parts.requirement);
    const ended = new Deferred<Result<void, KeepError>>();
    const timer = setTimeout(
      () => ended.resolve(err({ kind: 'timed-out', storedAt: plan.storedAt })),
      Math.max(0, deadlineMilliseconds),
    );
    this.#continue(plan, turn, deadlineMilliseconds, ended);
    const result = await ended.promise;
    clearTimeout(timer);
    const milliseconds = performance.now() - startedAt;
    metrics.distribution('turn.keep-milliseconds', milliseconds);
    metrics.increment(result.isOk() ? 'turn.kept' : 'turn.not-kept');
    logger.info(result.isOk() ? 'turn.kept' : 'turn.not-kept', {
      request: turn.id,
      organisation: turn.organisation,
      program: turn.program,
      previous: turn.parentId,
      instances: plan.storedAt.join(' '),
      bytes: turn.input.length + turn.output.length,
      milliseconds: Math.round(milliseconds),
      ...(result.isErr() && { reason: result.error.kind }),
    });
    return result;
  }

  /** Ranks the instances for a turn; those that failed recently last. */
  #rank({ organisation, program, id }: Turn): readonly StorageInstance[] {
    const { directory } = this.#parts;
    const ranking = rankHolders({ organisation, program: program || id }, directory.known);
    return [
      ...ranking.filter(({ name }) => !directory.isDoubtful(name)),
      ...ranking.filter(({ name }) => directory.isDoubtful(name)),
    ];
  }

  #continue(
    plan: CopyPlan,
    turn: Turn,
    deadlineMilliseconds: number,
    ended: Deferred<Result<void, KeepError>>,
  ): void {
    const step = plan.next();
    switch (step.kind) {
      case 'stored':
        ended.resolve(ok(undefined));
        break;
      case 'failed':
        ended.resolve(err({ kind: 'too-few-copies', storedAt: plan.storedAt }));
        break;
      case 'wait':
        break;
      case 'send':
        step.instances.forEach((instance) => {
          const proceed = (): void => this.#continue(plan, turn, deadlineMilliseconds, ended);
          const timer = setTimeout(() => {
            plan.recordSlow(instance);
            proceed();
          }, SLOW_MILLISECONDS);
          void this.#send(instance, turn, deadlineMilliseconds, plan).then(() => {
            clearTimeout(timer);
            proceed();
          });
        });
    }
  }

  async #send(
    instance: StorageInstance,
    turn: Turn,
    deadlineMilliseconds: number,
    plan: CopyPlan,
  ): Promise<void> {
    const { directory, clients, logger } = this.#parts;
    const timeoutMs = Math.min(MAXIMUM_CALL_MILLISECONDS, Math.max(1, deadlineMilliseconds));
    try {
      const { results } = await clients
        .to(instance.address)
        .storeTurns({ turns: [turn] }, { timeoutMs });
      if (results[0] === StoreResult.STORED) {
        directory.recordSuccess(instance.name);
        plan.recordStored(instance);
        return;
      }
      const result = StoreResult[results[0] ?? StoreResult.UNSPECIFIED];
      logger.warn('turn.copy-refused', { request: turn.id, instance: instance.name, result });
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      logger.warn('turn.copy-failed', { request: turn.id, instance: instance.name, detail });
    }
    directory.recordFailure(instance.name);
    plan.recordFailed(instance);
  }
}
