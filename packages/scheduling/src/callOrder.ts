import type { AttainedService } from './attainedService';
import type { OrganisationService } from './organisationService';
import type { SchedulerSettings } from './schedulerSettings';
import type { WaitingCall } from './waitingCall';

/** Options of a {@link CallOrder}. */
export interface CallOrderOptions {
  readonly settings: SchedulerSettings;
  readonly organisations: OrganisationService;
  readonly programs: AttainedService;
}

interface RankedCall {
  readonly waiting: WaitingCall;
  readonly rank: number;
}

/**
 * Orders waiting calls. Organisations with the least service received go first, then programs with
 * the least attained service. Program levels double in size (as in multilevel feedback queues), and
 * the older call goes first within a level. A call's level drops by one for each aging interval
 * that it waits, so none starves.
 */
export class CallOrder {
  readonly #options: CallOrderOptions;

  constructor(options: CallOrderOptions) {
    this.#options = options;
  }

  /** Returns the organisations in the order in which they are served. */
  sortOrganisations(organisations: Iterable<string>): readonly string[] {
    const service = this.#options.organisations;
    return [...organisations].sort(
      (one, other) =>
        service.virtualTime(one) - service.virtualTime(other) || (one < other ? -1 : 1),
    );
  }

  /** Returns an organisation's calls in the order in which they are served. */
  sortCalls(calls: readonly WaitingCall[]): readonly WaitingCall[] {
    const now = performance.now();
    return calls
      .map((waiting): RankedCall => ({ waiting, rank: this.#rank(waiting, now) }))
      .sort(
        (one, other) =>
          one.rank - other.rank || one.waiting.arrivalNumber - other.waiting.arrivalNumber,
      )
      .map(({ waiting }) => waiting);
  }

  /** Returns the level of a call's program, from 0; a lower level runs first. */
  level({ call }: WaitingCall): number {
    const attained = this.#options.programs.attained(call.organisation, call.rootProgram);
    return Math.floor(Math.log2(1 + attained / this.#options.settings.levelTokens));
  }

  #rank(waiting: WaitingCall, now: number): number {
    const waited = now - waiting.enqueuedAtMilliseconds;
    return this.level(waiting) - Math.floor(waited / this.#options.settings.agingMilliseconds);
  }
}
