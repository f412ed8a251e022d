import { SharedRate } from '@limpetnotch/admission';
import type { RatePart } from '@limpetnotch/admission';
import type { Logger, Metrics } from '@limpetnotch/observability';
import type { FleetConfiguration, FleetOrganisation } from '../configuration/fleetConfiguration';
import type { FleetPeers } from '../peers/fleetPeers';
import type { QuotaDecision, QuotaGate } from './quotaGate';

/** Time after a fruitless round of questions before peers are asked again. */
const FRUITLESS_PAUSE_MILLISECONDS = 150;

/** Peers are asked before the last token is spent, so that few requests wait for the answer. */
const LOW_WATER_TOKENS = 3;

/** Bounds of what a refused caller is told, in seconds. */
const SHORTEST_RETRY_AFTER_SECONDS = 0.1;
const LONGEST_RETRY_AFTER_SECONDS = 1;

interface OrganisationRate {
  readonly rate: SharedRate;
  asking: Promise<void> | undefined;
  askAgainAtMilliseconds: number;
}

/** Parts of {@link SharedQuotas}. */
export interface SharedQuotasParts {
  readonly peers: FleetPeers;
  /** This instance's part of every rate, from 0 to 1. */
  readonly share: () => number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Holds organisations to their rates by equal parts of the instances, and moves tokens on demand. */
export class SharedQuotas implements QuotaGate {
  readonly #parts: SharedQuotasParts;

  readonly #rates = new Map<string, OrganisationRate>();

  constructor(parts: SharedQuotasParts) {
    this.#parts = parts;
  }

  /** Puts the rates of a configuration, or a changed part, in force. */
  apply(configuration: FleetConfiguration | undefined): void {
    const organisations = configuration?.organisations ?? [];
    const names = new Set(organisations.map(({ name }) => name));
    [...this.#rates.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.#rates.delete(name));
    organisations.forEach((organisation) => {
      if (organisation.rate) this.#rateOf(organisation).rate.setPart(this.#partOf(organisation));
    });
  }

  async take(organisation: FleetOrganisation): Promise<QuotaDecision> {
    const entry = this.#rateOf(organisation);
    const { rate } = entry;
    rate.noteDemand();
    const giveBack = (): void => rate.receive(1);
    if (rate.take()) {
      if (rate.tokens < LOW_WATER_TOKENS) void this.#ask(organisation, entry);
      return { kind: 'taken', giveBack };
    }
    await this.#ask(organisation, entry);
    if (rate.take()) return { kind: 'taken', giveBack };
    const retryAfterSeconds = Math.min(
      LONGEST_RETRY_AFTER_SECONDS,
      Math.max(SHORTEST_RETRY_AFTER_SECONDS, rate.secondsToNextToken),
    );
    return { kind: 'refused', retryAfterSeconds };
  }

  /** Gives tokens up for a peer. */
  give(organisationName: string, wanted: number): number {
    return this.#rates.get(organisationName)?.rate.give(wanted) ?? 0;
  }

  #ask(organisation: FleetOrganisation, entry: OrganisationRate): Promise<void> {
    if (entry.asking) return entry.asking;
    if (performance.now() < entry.askAgainAtMilliseconds) return Promise.resolve();
    // The entry is shared by all requests of the organisation that wait for the same answer.
    const asked = entry;
    asked.asking = this.#askPeers(organisation.name, entry).finally(() => {
      asked.asking = undefined;
    });
    return asked.asking;
  }

  async #askPeers(name: string, entry: OrganisationRate): Promise<void> {
    const { wanted } = entry.rate;
    const received = await this.#parts.peers.takeTokens(name, wanted);
    entry.rate.receive(received);
    this.#parts.metrics.increment('quota.tokens-received', received);
    const asked = entry;
    if (received === 0) {
      asked.askAgainAtMilliseconds = performance.now() + FRUITLESS_PAUSE_MILLISECONDS;
    }
  }

  #rateOf(organisation: FleetOrganisation): OrganisationRate {
    const known = this.#rates.get(organisation.name);
    if (known) return known;
    const entry: OrganisationRate = {
      rate: new SharedRate(this.#partOf(organisation)),
      asking: undefined,
      askAgainAtMilliseconds: 0,
    };
    this.#rates.set(organisation.name, entry);
    return entry;
  }

  #partOf({ rate }: FleetOrganisation): RatePart {
    return {
      perSecond: rate?.perSecond ?? 0,
      burst: rate?.burst ?? 0,
      share: this.#parts.share(),
    };
  }
}
