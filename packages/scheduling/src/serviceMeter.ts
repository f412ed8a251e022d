import type { AttainedService } from './attainedService';
import type { OrganisationService } from './organisationService';
import type { ScheduledCall } from './scheduledCall';

/** Options of a {@link ServiceMeter}. */
export interface ServiceMeterOptions {
  readonly call: ScheduledCall;
  readonly organisations: OrganisationService;
  readonly programs: AttainedService;
  readonly outputTokenWeight: number;
}

/**
 * Charges a call's service to its organisation and root program: uncached prompt tokens plus
 * weighted output tokens. The expected service is charged at dispatch, increased as soon as the
 * output exceeds it, and corrected at the end.
 */
export class ServiceMeter {
  readonly #options: ServiceMeterOptions;

  #charged = 0;

  constructor(options: ServiceMeterOptions) {
    this.#options = options;
  }

  /** Sets the call's service so far, and charges the difference. */
  set(uncachedPromptTokens: number, outputTokens: number): void {
    const { call, organisations, programs, outputTokenWeight } = this.#options;
    const service = Math.max(0, uncachedPromptTokens) + outputTokens * outputTokenWeight;
    const difference = service - this.#charged;
    this.#charged = service;
    organisations.chargeLocal(call.organisation, difference);
    programs.charge(call.organisation, call.rootProgram, difference);
  }
}
