import { AdmittedPrograms, admitProgram, ProgramLoad, SharedRate } from '@limpetnotch/admission';
import type { OrganisationDemand, RatePart } from '@limpetnotch/admission';
import type { Metrics } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import { hash32 } from '../util/hash32';
import { RecentKeys } from '../util/recentKeys';
import type { FleetConfiguration, FleetOrganisation } from '../configuration/fleetConfiguration';
import type { Holding } from './holding';
import type { PeerDemand, QuotaPeers } from './quotaPeers';
import type { ProgramStage, QuotaDecision, QuotaGate, QuotaRequest } from './quotaGate';

/** Time after a fruitless round of questions before peers are asked again. */
const FRUITLESS_PAUSE_MILLISECONDS = 75;

/**
 * Bounds of what a refused caller is told, in seconds. Programs have about half of their idle time
 * to spare, a second or less, so that a later return is mostly in vain.
 */
const SHORTEST_RETRY_AFTER_SECONDS = 0.1;
const LONGEST_RETRY_AFTER_SECONDS = 0.2;

/** Rounds of questions for one request; others may take what the first ones brought. */
const MAXIMUM_QUESTIONS = 4;

/** Longest wait of an admitted request for its organisation's next token. */
const LONGEST_WAIT_MILLISECONDS = 300;

/** Unspent part of this instance's tokens below which it asks the others before a program begins. */
const PRESSED_UNSPENT_PART = 0.6;

/** Part of the rate that programs admitted here, taken as typical, may need before it asks. */
const PRESSED_DEMAND_PART = 0.5;

/** Programs remembered; twice those under way on an instance at the size designed for. */
const MAXIMUM_PROGRAMS = 20_000;

const MILLISECONDS = 1_000;

interface OrganisationRate {
  readonly rate: SharedRate;
  readonly programs: AdmittedPrograms;
  /** Requests that found no token here. */
  short: number;
  /** Requests that wait for a token, one after another. */
  waiting: number;
  lastTurn: Promise<void>;
  asking: Promise<void> | undefined;
  askAgainAtMilliseconds: number;
}

/** Parts of {@link SharedQuotas}. */
export interface SharedQuotasParts {
  readonly peers: QuotaPeers;
  /** This instance's part of every rate. */
  readonly holding: () => Holding;
  /** Window over which the operator measures rates, in seconds. */
  readonly windowSeconds: () => number;
  /** Whether a program that no instance remembers has begun all the same, before a restart. */
  readonly hasBegun: (programKey: string) => Promise<boolean>;
  readonly metrics: Metrics;
}

type NewProgram = Extract<ProgramStage, { kind: 'new-program' }>;

type Refused = Extract<QuotaDecision, { kind: 'refused' }>;

const clampRetryAfter = (seconds: number): number =>
  Math.min(LONGEST_RETRY_AFTER_SECONDS, Math.max(SHORTEST_RETRY_AFTER_SECONDS, seconds));

/**
 * Holds organisations to their rates by equal parts of the instances, and moves tokens on demand.
 * Where an organisation's programs need more than its rate, the instances count them together and
 * refuse new ones, so that those under way can end.
 */
export class SharedQuotas implements QuotaGate {
  readonly #parts: SharedQuotasParts;

  readonly #rates = new Map<string, OrganisationRate>();

  readonly #seen = new RecentKeys(MAXIMUM_PROGRAMS);

  readonly #load = new ProgramLoad();

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

  async take({ organisation, programKey, stage }: QuotaRequest): Promise<QuotaDecision> {
    const entry = this.#rateOf(organisation);
    entry.rate.noteDemand();
    const beginning = this.#begins(programKey, stage) ? stage : undefined;
    if (beginning && this.#isPressed(entry, organisation)) {
      const refused = await this.#refuseProgram(organisation, entry, programKey);
      if (refused) return refused;
    }
    if (!(await this.#takeToken(organisation, entry))) return this.#noToken(entry);
    if (beginning) this.#noteProgram(entry, beginning);
    if (programKey !== undefined) {
      this.#seen.note(programKey);
      this.#load.noteRequest();
    }
    return { kind: 'taken', giveBack: () => entry.rate.putBack() };
  }

  /** Gives tokens up for a peer. */
  give(organisationName: string, wanted: number): number {
    return this.#rates.get(organisationName)?.rate.give(wanted) ?? 0;
  }

  /** Tells a peer what this instance knows of an organisation's programs. */
  describe(organisationName: string, programKey: string): PeerDemand {
    const entry = this.#rates.get(organisationName);
    return {
      programs: entry?.programs.count ?? 0,
      unspentTokens: Math.floor(entry?.rate.unspentTokens ?? 0),
      isProgramKnown: this.#seen.has(programKey),
    };
  }

  /** Whether this may be a program's first request, as far as this instance has seen. */
  #begins(programKey: string | undefined, stage: ProgramStage): stage is NewProgram {
    if (stage.kind === 'under-way' || programKey === undefined) return false;
    return !this.#seen.has(programKey);
  }

  #noteProgram({ programs }: OrganisationRate, { expectedMilliseconds }: NewProgram): void {
    programs.add(expectedMilliseconds);
    this.#load.noteProgram(expectedMilliseconds);
  }

  /** Whether the organisation may be near its rate, judged by what this instance alone knows. */
  #isPressed({ rate, programs }: OrganisationRate, organisation: FleetOrganisation): boolean {
    if (rate.unspentPart < PRESSED_UNSPENT_PART) return true;
    const { holders } = this.#parts.holding();
    const demand = programs.count * holders * this.#load.requestsPerProgramSecond;
    return demand > this.#tokensPerSecond(organisation) * PRESSED_DEMAND_PART;
  }

  /** Returns why a program may not begin, judged by what all instances know; undefined if it may. */
  async #refuseProgram(
    organisation: FleetOrganisation,
    entry: OrganisationRate,
    programKey = '',
  ): Promise<Refused | undefined> {
    const { peers, hasBegun } = this.#parts;
    const answers = await peers.describeDemand(organisation.name, programKey);
    if (answers.some(({ isProgramKnown }) => isProgramKnown)) return undefined;
    const demand = this.#demandOf(organisation, entry, answers);
    const decision = admitProgram(demand);
    if (decision.kind === 'admitted' || (await hasBegun(programKey))) return undefined;
    return {
      kind: 'refused',
      reason: decision.reason,
      retryAfterSeconds: clampRetryAfter(entry.programs.secondsToNextEnd ?? 0),
      tokens: entry.rate.tokens,
      demandPerSecond: entry.rate.demandPerSecond,
      demand,
    };
  }

  #demandOf(
    organisation: FleetOrganisation,
    { rate, programs }: OrganisationRate,
    answers: readonly PeerDemand[],
  ): OrganisationDemand {
    const { holders } = this.#parts.holding();
    // What is held by an instance that doesn't answer can't be spent.
    const reachablePart = Math.min(1, (1 + answers.length) / Math.max(1, holders));
    const tokensPerSecond = this.#tokensPerSecond(organisation) * reachablePart;
    return {
      programs: answers.reduce((sum, answer) => sum + answer.programs, programs.count),
      unspentTokens: answers.reduce(
        (sum, answer) => sum + answer.unspentTokens,
        rate.unspentTokens,
      ),
      windowTokens: tokensPerSecond * this.#parts.windowSeconds(),
      tokensPerSecond,
      requestsPerProgramSecond: this.#load.requestsPerProgramSecond,
    };
  }

  #tokensPerSecond({ rate }: FleetOrganisation): number {
    return (rate?.perSecond ?? 0) + (rate?.burst ?? 0) / this.#parts.windowSeconds();
  }

  #noToken({ rate }: OrganisationRate): Refused {
    return {
      kind: 'refused',
      reason: 'no-token',
      retryAfterSeconds: clampRetryAfter(rate.secondsToNextToken),
      tokens: rate.tokens,
      demandPerSecond: rate.demandPerSecond,
      demand: undefined,
    };
  }

  /** Takes a token held here, or one of a peer, or waits shortly for the next one. */
  async #takeToken(organisation: FleetOrganisation, entry: OrganisationRate): Promise<boolean> {
    if (entry.waiting === 0 && entry.rate.take()) return true;
    const shared = entry;
    shared.short += 1;
    const isObtained = await this.#askForToken(organisation, entry);
    shared.short -= 1;
    return isObtained || this.#waitForToken(entry);
  }

  /** Asks peers until they give a token to this request, or none at all. */
  async #askForToken(organisation: FleetOrganisation, entry: OrganisationRate): Promise<boolean> {
    for (let round = 0; round < MAXIMUM_QUESTIONS; round += 1) {
      if (performance.now() < entry.askAgainAtMilliseconds) return false;
      await this.#ask(organisation, entry);
      if (entry.rate.take()) return true;
    }
    return false;
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

  #ask(organisation: FleetOrganisation, entry: OrganisationRate): Promise<void> {
    if (entry.asking) return entry.asking;
    // The entry is shared by all requests of the organisation that wait for the same answer.
    const asked = entry;
    asked.asking = this.#askPeers(organisation.name, entry).finally(() => {
      asked.asking = undefined;
    });
    return asked.asking;
  }

  async #askPeers(name: string, entry: OrganisationRate): Promise<void> {
    const received = await this.#parts.peers.takeTokens(name, Math.max(1, entry.short));
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
      programs: new AdmittedPrograms(),
      short: 0,
      waiting: 0,
      lastTurn: Promise.resolve(),
      asking: undefined,
      askAgainAtMilliseconds: 0,
    };
    this.#rates.set(organisation.name, entry);
    return entry;
  }

  /** Ranks differ from one organisation to the next, so that single tokens are spread evenly. */
  #partOf({ name, rate }: FleetOrganisation): RatePart {
    const { holders, rank } = this.#parts.holding();
    return {
      perSecond: rate?.perSecond ?? 0,
      burst: rate?.burst ?? 0,
      windowSeconds: this.#parts.windowSeconds(),
      holders,
      rank: holders === 0 ? 0 : (rank + hash32(name)) % holders,
    };
  }
}
