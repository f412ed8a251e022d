import { SharedRate } from '@limpetnotch/admission';
import type { RatePart } from '@limpetnotch/admission';
import type { Logger, Metrics } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import type { FleetConfiguration, FleetOrganisation } from '../configuration/fleetConfiguration';
import type { FleetPeers } from '../peers/fleetPeers';
import type { ProgramStage, QuotaDecision, QuotaGate } from './quotaGate';

/** Time after a fruitless round of questions before peers are asked again. */
const FRUITLESS_PAUSE_MILLISECONDS = 150;

/** Peers are asked before the last token is spent, so that few requests wait for the answer. */
const LOW_WATER_TOKENS = 3;

/** Bounds of what a refused caller is told, in seconds. */
const SHORTEST_RETRY_AFTER_SECONDS = 0.1;
const LONGEST_RETRY_AFTER_SECONDS = 1;

/** Longest wait of a request of a program under way for its organisation's next token. */
const LONGEST_WAIT_MILLISECONDS = 300;

const MILLISECONDS = 1_000;

interface OrganisationRate {
  readonly rate: SharedRate;
  /** Requests that wait for a token, one after another. */
  waiting: number;
  lastTurn: Promise<void>;
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

  async take(organisation: FleetOrganisation, stage: ProgramStage): Promise<QuotaDecision> {
    const entry = this.#rateOf(organisation);
    const { rate } = entry;
    rate.noteDemand();
    if (entry.waiting === 0 && this.#takeNow(rate, stage)) {
      if (rate.tokens < LOW_WATER_TOKENS) void this.#ask(organisation, entry);
      return this.#taken(rate);
    }
    await this.#ask(organisation, entry);
    if (entry.waiting === 0 && this.#takeNow(rate, stage)) return this.#taken(rate);
    if (stage === 'under-way' && (await this.#waitForToken(entry))) return this.#taken(rate);
    return this.#refused(rate, stage);
  }

  #takeNow(rate: SharedRate, stage: ProgramStage): boolean {
    switch (stage) {
      case 'new-program':
        return rate.hasRoomForProgram && rate.take();
      case 'under-way':
        return rate.take();
    }
  }

  #taken(rate: SharedRate): QuotaDecision {
    return { kind: 'taken', giveBack: () => rate.receive(1) };
  }

  #refused(rate: SharedRate, stage: ProgramStage): QuotaDecision {
    const { demandPerSecond } = rate;
    const seconds =
      stage === 'new-program' ? rate.secondsToRoomForProgram : rate.secondsToNextToken;
    const retryAfterSeconds = Math.min(
      LONGEST_RETRY_AFTER_SECONDS,
      Math.max(SHORTEST_RETRY_AFTER_SECONDS, seconds),
    );
    return { kind: 'refused', retryAfterSeconds, share: this.#parts.share(), demandPerSecond };
  }

  /** Waits in line for a token; returns false at once where the line is too long. */
  async #waitForToken(entry: OrganisationRate): Promise<boolean> {
    const { rate } = entry;
    const expected = rate.secondsToTokens(entry.waiting + 1) * MILLISECONDS;
    if (expected > LONGEST_WAIT_MILLISECONDS) return false;
    const shared = entry;
    shared.waiting += 1;
    const turn = entry.lastTurn.then(() => delay(rate.secondsToNextToken * MILLISECONDS));
    shared.lastTurn = turn;
    await turn;
    shared.waiting -= 1;
    return rate.take();
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
      waiting: 0,
      lastTurn: Promise.resolve(),
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
