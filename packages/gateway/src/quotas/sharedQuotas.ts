import { AdmittedPrograms, admitProgram, ProgramLoad, SharedRate } from '@limpetnotch/admission';
import type { OrganisationDemand, RatePart } from '@limpetnotch/admission';
import type { Metrics } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import { hash32 } from '../util/hash32';
import { RecentKeys } from '../util/recentKeys';
import type { FleetConfiguration, FleetOrganisation } from '../configuration/fleetConfiguration';
import type { RateShare } from './rateShare';
import type { PeerDemand, QuotaPeers } from './quotaPeers';
import type { ProgramStage, QuotaDecision, QuotaGate, QuotaRequest } from './quotaGate';

/** Delay before peers are queried again after a round that brought no tokens. */
const EMPTY_ROUND_PAUSE_MILLISECONDS = 75;

/**
 * Bounds of the retry delay of a refused caller, in seconds. The slack of a program is about half of
 * its idle time, a second or less, so a later retry usually misses its objective.
 */
const SHORTEST_RETRY_AFTER_SECONDS = 0.1;
const LONGEST_RETRY_AFTER_SECONDS = 0.2;

/**
 * Maximum rounds of peer queries per request; other requests may take the tokens of earlier rounds.
 */
const MAXIMUM_PEER_ROUNDS = 4;

/** Maximum time an admitted request waits for its organisation's next token. */
const LONGEST_WAIT_MILLISECONDS = 300;

/**
 * Share of unspent tokens on this instance below which the other instances are queried before a
 * program starts.
 */
const NEAR_RATE_UNSPENT_SHARE = 0.6;

/**
 * Share of the rate that all programs may need, extrapolated from those admitted here, before the
 * other instances are queried.
 */
const NEAR_RATE_DEMAND_SHARE = 0.5;

/**
 * Maximum number of programs kept: twice the number under way on an instance at the scale that the
 * system is designed for.
 */
const MAXIMUM_PROGRAMS = 20_000;

const MILLISECONDS_PER_SECOND = 1_000;

interface OrganisationRate {
  readonly rate: SharedRate;
  readonly programs: AdmittedPrograms;
  /** Number of requests that found no token here. */
  requestsWithoutToken: number;
  /** Number of requests that wait in the queue for a token. */
  queuedRequests: number;
  queueTail: Promise<void>;
  peerRequest: Promise<void> | undefined;
  nextPeerRequestAtMilliseconds: number;
}

/** Parts of {@link SharedQuotas}. */
export interface SharedQuotasParts {
  readonly peers: QuotaPeers;
  /** This instance's share of every rate. */
  readonly rateShare: () => RateShare;
  /** Window over which the operator measures rates, in seconds. */
  readonly windowSeconds: () => number;
  /** Whether a program that is registered on no instance started before a restart. */
  readonly hasProgramStarted: (programKey: string) => Promise<boolean>;
  readonly metrics: Metrics;
}

type NewProgram = Extract<ProgramStage, { kind: 'new-program' }>;

type Refused = Extract<QuotaDecision, { kind: 'refused' }>;

const clampRetryAfter = (seconds: number): number =>
  Math.min(LONGEST_RETRY_AFTER_SECONDS, Math.max(SHORTEST_RETRY_AFTER_SECONDS, seconds));

/**
 * Enforces the rates of organisations by equal shares of the instances, which transfer tokens on
 * demand. If an organisation's programs need more than its rate, the instances add up their counts
 * and refuse new programs, so that those under way can finish.
 */
export class SharedQuotas implements QuotaGate {
  readonly #parts: SharedQuotasParts;

  readonly #rates = new Map<string, OrganisationRate>();

  readonly #seenPrograms = new RecentKeys(MAXIMUM_PROGRAMS);

  readonly #load = new ProgramLoad();

  constructor(parts: SharedQuotasParts) {
    this.#parts = parts;
  }

  /** Applies the rates of a configuration, or a changed share of this instance. */
  apply(configuration: FleetConfiguration | undefined): void {
    const organisations = configuration?.organisations ?? [];
    const names = new Set(organisations.map(({ name }) => name));
    [...this.#rates.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.#rates.delete(name));
    organisations.forEach((organisation) => {
      if (organisation.rate) this.#getRate(organisation).rate.setPart(this.#getPart(organisation));
    });
  }

  async take({ organisation, programKey, stage }: QuotaRequest): Promise<QuotaDecision> {
    const entry = this.#getRate(organisation);
    entry.rate.recordRequest();
    const newProgram = this.#mayStartProgram(programKey, stage) ? stage : undefined;
    if (newProgram && this.#mayBeNearRate(entry, organisation)) {
      const refused = await this.#checkNewProgram(organisation, entry, programKey);
      if (refused) return refused;
    }
    if (!(await this.#takeToken(organisation, entry))) return this.#refuseWithoutToken(entry);
    if (newProgram) this.#recordProgram(entry, newProgram);
    if (programKey !== undefined) {
      this.#seenPrograms.add(programKey);
      this.#load.recordRequest();
    }
    return { kind: 'taken', returnToken: () => entry.rate.returnToken() };
  }

  /** Transfers tokens to a peer; returns their number. */
  transferTokens(organisationName: string, wanted: number): number {
    return this.#rates.get(organisationName)?.rate.give(wanted) ?? 0;
  }

  /** Returns this instance's view of an organisation's programs, for a peer. */
  describeDemand(organisationName: string, programKey: string): PeerDemand {
    const entry = this.#rates.get(organisationName);
    return {
      programs: entry?.programs.count ?? 0,
      unspentTokens: Math.floor(entry?.rate.unspentTokens ?? 0),
      isProgramKnown: this.#seenPrograms.has(programKey),
    };
  }

  /**
   * Whether this may be a program's first request, judged by the programs seen on this instance.
   */
  #mayStartProgram(programKey: string | undefined, stage: ProgramStage): stage is NewProgram {
    if (stage.kind === 'under-way' || programKey === undefined) return false;
    return !this.#seenPrograms.has(programKey);
  }

  #recordProgram({ programs }: OrganisationRate, { expectedMilliseconds }: NewProgram): void {
    programs.add(expectedMilliseconds);
    this.#load.recordProgram(expectedMilliseconds);
  }

  /** Whether the organisation may be near its rate, judged by this instance's view alone. */
  #mayBeNearRate({ rate, programs }: OrganisationRate, organisation: FleetOrganisation): boolean {
    if (rate.unspentFraction < NEAR_RATE_UNSPENT_SHARE) return true;
    const { holders } = this.#parts.rateShare();
    const demand = programs.count * holders * this.#load.requestsPerProgramSecond;
    return demand > this.#tokensPerSecond(organisation) * NEAR_RATE_DEMAND_SHARE;
  }

  /**
   * Returns the refusal of a new program, judged by the views of all instances; undefined if the
   * program may start.
   */
  async #checkNewProgram(
    organisation: FleetOrganisation,
    entry: OrganisationRate,
    programKey = '',
  ): Promise<Refused | undefined> {
    const { peers, hasProgramStarted } = this.#parts;
    const responses = await peers.describeDemand(organisation.name, programKey);
    if (responses.some(({ isProgramKnown }) => isProgramKnown)) return undefined;
    const demand = this.#computeDemand(organisation, entry, responses);
    const decision = admitProgram(demand);
    if (decision.kind === 'admitted' || (await hasProgramStarted(programKey))) return undefined;
    return {
      kind: 'refused',
      reason: decision.reason,
      retryAfterSeconds: clampRetryAfter(entry.programs.secondsToNextEnd ?? 0),
      tokens: entry.rate.tokens,
      demandPerSecond: entry.rate.demandPerSecond,
      demand,
    };
  }

  #computeDemand(
    organisation: FleetOrganisation,
    { rate, programs }: OrganisationRate,
    responses: readonly PeerDemand[],
  ): OrganisationDemand {
    const { holders } = this.#parts.rateShare();
    // Tokens held by an instance that doesn't respond can't be spent.
    const reachablePart = Math.min(1, (1 + responses.length) / Math.max(1, holders));
    const tokensPerSecond = this.#tokensPerSecond(organisation) * reachablePart;
    return {
      programs: responses.reduce((sum, response) => sum + response.programs, programs.count),
      unspentTokens: responses.reduce(
        (sum, response) => sum + response.unspentTokens,
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

  #refuseWithoutToken({ rate }: OrganisationRate): Refused {
    return {
      kind: 'refused',
      reason: 'no-token',
      retryAfterSeconds: clampRetryAfter(rate.secondsToNextToken),
      tokens: rate.tokens,
      demandPerSecond: rate.demandPerSecond,
      demand: undefined,
    };
  }

  /** Takes a token held here or one of a peer, or waits a short time for the next one. */
  async #takeToken(organisation: FleetOrganisation, entry: OrganisationRate): Promise<boolean> {
    if (entry.queuedRequests === 0 && entry.rate.tryAcquire()) return true;
    const mutableEntry = entry;
    mutableEntry.requestsWithoutToken += 1;
    const isObtained = await this.#requestToken(organisation, entry);
    mutableEntry.requestsWithoutToken -= 1;
    return isObtained || this.#waitForToken(entry);
  }

  /** Queries peers until this request gets a token or a round brings none. */
  async #requestToken(organisation: FleetOrganisation, entry: OrganisationRate): Promise<boolean> {
    for (let round = 0; round < MAXIMUM_PEER_ROUNDS; round += 1) {
      if (performance.now() < entry.nextPeerRequestAtMilliseconds) return false;
      await this.#shareTokenRequest(organisation, entry);
      if (entry.rate.tryAcquire()) return true;
    }
    return false;
  }

  /** Waits in the queue for a token; returns false immediately if the queue is too long. */
  async #waitForToken(entry: OrganisationRate): Promise<boolean> {
    const { rate } = entry;
    const expectedMilliseconds =
      rate.secondsToTokens(entry.queuedRequests + 1) * MILLISECONDS_PER_SECOND;
    if (expectedMilliseconds > LONGEST_WAIT_MILLISECONDS) return false;
    const mutableEntry = entry;
    mutableEntry.queuedRequests += 1;
    const wait = entry.queueTail.then(() =>
      delay(rate.secondsToNextToken * MILLISECONDS_PER_SECOND),
    );
    mutableEntry.queueTail = wait;
    await wait;
    mutableEntry.queuedRequests -= 1;
    return rate.tryAcquire();
  }

  #shareTokenRequest(organisation: FleetOrganisation, entry: OrganisationRate): Promise<void> {
    if (entry.peerRequest) return entry.peerRequest;
    // The entry is shared by all requests of the organisation that wait for the same response.
    const mutableEntry = entry;
    mutableEntry.peerRequest = this.#requestTokensFromPeers(organisation.name, entry).finally(
      () => {
        mutableEntry.peerRequest = undefined;
      },
    );
    return mutableEntry.peerRequest;
  }

  async #requestTokensFromPeers(name: string, entry: OrganisationRate): Promise<void> {
    const received = await this.#parts.peers.takeTokens(
      name,
      Math.max(1, entry.requestsWithoutToken),
    );
    entry.rate.receive(received);
    this.#parts.metrics.increment('quota.tokens-received', received);
    const mutableEntry = entry;
    if (received === 0) {
      mutableEntry.nextPeerRequestAtMilliseconds =
        performance.now() + EMPTY_ROUND_PAUSE_MILLISECONDS;
    }
  }

  #getRate(organisation: FleetOrganisation): OrganisationRate {
    const existing = this.#rates.get(organisation.name);
    if (existing) return existing;
    const entry: OrganisationRate = {
      rate: new SharedRate(this.#getPart(organisation)),
      programs: new AdmittedPrograms(),
      requestsWithoutToken: 0,
      queuedRequests: 0,
      queueTail: Promise.resolve(),
      peerRequest: undefined,
      nextPeerRequestAtMilliseconds: 0,
    };
    this.#rates.set(organisation.name, entry);
    return entry;
  }

  /** Returns this instance's part of a rate; its rank varies to spread single tokens evenly. */
  #getPart({ name, rate }: FleetOrganisation): RatePart {
    const { holders, rank } = this.#parts.rateShare();
    return {
      perSecond: rate?.perSecond ?? 0,
      burst: rate?.burst ?? 0,
      windowSeconds: this.#parts.windowSeconds(),
      holders,
      rank: holders === 0 ? 0 : (rank + hash32(name)) % holders,
    };
  }
}
