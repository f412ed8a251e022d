import { ProgramLoad } from '@limpetnotch/admission';
import type { Metrics } from '@limpetnotch/observability';
import { RecentKeys } from '../util/recentKeys';
import type { FleetConfiguration, FleetOrganisation } from '../configuration/fleetConfiguration';
import { LONGEST_TOKEN_WAIT_MILLISECONDS } from './longestTokenWait';
import { NO_TOKENS } from './noTokens';
import { OrganisationRate } from './organisationRate';
import { ProgramAdmissions } from './programAdmissions';
import type { RateLayout } from './rateLayout';
import type {
  PeerDemand,
  ProgramAdmission,
  ProgramAdmissionRequest,
  QuotaPeers,
  TokensGiven,
  TokensWanted,
} from './quotaPeers';
import type {
  ProgramQuotaDecision,
  ProgramStage,
  QuotaDecision,
  QuotaGate,
  QuotaRefusal,
  QuotaRequest,
} from './quotaGate';
import { TokenTaker } from './tokenTaker';

/**
 * Bounds of the retry delay of a refused caller, in seconds. The slack of a program is about half of
 * its idle time, a second or less, so a later retry usually misses its objective.
 */
const SHORTEST_RETRY_AFTER_SECONDS = 0.1;
const LONGEST_RETRY_AFTER_SECONDS = 0.2;

/**
 * Maximum number of programs kept: twice the number under way on an instance at the scale that the
 * system is designed for.
 */
const MAXIMUM_PROGRAMS = 20_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Parts of {@link SharedQuotas}. */
export interface SharedQuotasParts {
  readonly peers: QuotaPeers;
  /** Name of this instance, as in the lists of members. */
  readonly instance: string;
  readonly rateLayout: () => RateLayout;
  /** Window over which the operator measures rates, in seconds. */
  readonly windowSeconds: () => number;
  /** Whether a program that is registered on no instance started before a restart. */
  readonly hasProgramStarted: (programKey: string) => Promise<boolean>;
  readonly metrics: Metrics;
}

type NewProgram = Extract<ProgramStage, { kind: 'new-program' }>;

const ADMITTED = { kind: 'admitted' } as const;

const clampRetryAfter = (seconds: number): number =>
  Math.min(LONGEST_RETRY_AFTER_SECONDS, Math.max(SHORTEST_RETRY_AFTER_SECONDS, seconds));

/**
 * Enforces the rates of organisations by parts of the instances, which transfer tokens on demand. If
 * an organisation's programs need more than its rate, new programs are refused, so that those under
 * way can finish.
 */
export class SharedQuotas implements QuotaGate {
  readonly #parts: SharedQuotasParts;

  readonly #rates = new Map<string, OrganisationRate>();

  readonly #seenPrograms = new RecentKeys(MAXIMUM_PROGRAMS);

  readonly #load = new ProgramLoad();

  readonly #tokens: TokenTaker;

  readonly #admissions: ProgramAdmissions;

  constructor(parts: SharedQuotasParts) {
    this.#parts = parts;
    this.#tokens = new TokenTaker(parts);
    this.#admissions = new ProgramAdmissions({ ...parts, load: this.#load, tokens: this.#tokens });
  }

  /** Applies the rates of a configuration, or a changed layout. */
  apply(configuration: FleetConfiguration | undefined): void {
    const organisations = configuration?.organisations ?? [];
    const names = new Set(organisations.map(({ name }) => name));
    [...this.#rates.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.#rates.delete(name));
    organisations.forEach((organisation) => {
      if (organisation.rate) this.#applyTo(this.#getRate(organisation), organisation);
    });
  }

  async admit({ organisation, programKey, stage }: QuotaRequest): Promise<ProgramQuotaDecision> {
    const entry = this.#getRate(organisation);
    entry.rate.recordRequest();
    if (programKey === undefined || !this.#mayStartProgram(programKey, stage)) return ADMITTED;
    const { expectedMilliseconds } = stage;
    const program = { key: programKey, expectedMilliseconds };
    const { decision, demand } = await this.#admissions.admit(entry, program);
    if (decision.kind === 'admitted') return decision;
    return {
      kind: 'refused',
      reason: decision.reason,
      retryAfterSeconds: clampRetryAfter(entry.programs.secondsToNextEnd ?? 0),
      tokens: entry.rate.tokens,
      demandPerSecond: entry.rate.demandPerSecond,
      demand,
    };
  }

  async take({ organisation, programKey, stage }: QuotaRequest): Promise<QuotaDecision> {
    const entry = this.#getRate(organisation);
    const newProgram = this.#mayStartProgram(programKey, stage) ? stage : undefined;
    if (!(await this.#tokens.take(entry))) return this.#refuseWithoutToken(entry);
    if (newProgram) this.#recordProgram(entry, newProgram);
    if (programKey !== undefined) {
      this.#seenPrograms.add(programKey);
      this.#load.recordRequest();
    }
    return { kind: 'taken', returnToken: () => entry.rate.returnToken() };
  }

  /** Transfers tokens to a peer. */
  transferTokens(organisationName: string, { wanted, ahead }: TokensWanted): TokensGiven {
    const entry = this.#rates.get(organisationName);
    if (!entry) return NO_TOKENS;
    const given = entry.rate.give(wanted);
    if (given === wanted) {
      return { given, ahead: entry.rate.giveAhead(ahead), nextMilliseconds: undefined };
    }
    const nextMilliseconds = entry.promiseToken(LONGEST_TOKEN_WAIT_MILLISECONDS);
    return {
      given,
      ahead: 0,
      nextMilliseconds: Number.isFinite(nextMilliseconds) ? nextMilliseconds : undefined,
    };
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

  /** Decides on a program for a peer, as a holder of the organisation's rate. */
  async decideProgram(request: ProgramAdmissionRequest): Promise<ProgramAdmission> {
    const entry = this.#rates.get(request.organisation);
    const retryAfterSeconds = clampRetryAfter(entry?.programs.secondsToNextEnd ?? 0);
    const { program: key, expectedMilliseconds } = request;
    const decided =
      !entry || this.#seenPrograms.has(key)
        ? { decision: ADMITTED, demand: undefined }
        : await this.#admissions.decideAsHolder(entry, { key, expectedMilliseconds });
    if (decided.decision.kind === 'refused') {
      return { ...decided, tokens: NO_TOKENS, retryAfterSeconds };
    }
    this.#seenPrograms.add(key);
    const tokens = this.transferTokens(request.organisation, request);
    return { ...decided, tokens, retryAfterSeconds };
  }

  /**
   * Whether this may be a program's first request, judged by the programs seen on this instance.
   */
  #mayStartProgram(programKey: string | undefined, stage: ProgramStage): stage is NewProgram {
    if (stage.kind === 'under-way' || programKey === undefined) return false;
    return !this.#seenPrograms.has(programKey);
  }

  #recordProgram({ programs, chosenHolders }: OrganisationRate, program: NewProgram): void {
    // Chosen holders count a program when they admit it.
    if (!chosenHolders) programs.add(program.expectedMilliseconds);
    this.#load.recordProgram(program.expectedMilliseconds);
  }

  #refuseWithoutToken(entry: OrganisationRate): QuotaRefusal {
    const { rate, chosenHolders, millisecondsToHolderToken } = entry;
    const secondsToHolderToken = millisecondsToHolderToken / MILLISECONDS_PER_SECOND;
    const seconds = chosenHolders
      ? Math.min(rate.secondsToNextToken, secondsToHolderToken)
      : rate.secondsToNextToken;
    return {
      kind: 'refused',
      reason: 'no-token',
      retryAfterSeconds: clampRetryAfter(seconds),
      tokens: rate.tokens,
      demandPerSecond: rate.demandPerSecond,
      demand: undefined,
    };
  }

  #getRate(organisation: FleetOrganisation): OrganisationRate {
    const existing = this.#rates.get(organisation.name);
    if (existing) return existing;
    const entry = new OrganisationRate(organisation);
    this.#applyTo(entry, organisation);
    this.#rates.set(organisation.name, entry);
    return entry;
  }

  #applyTo(entry: OrganisationRate, organisation: FleetOrganisation): void {
    entry.apply(organisation, this.#parts.rateLayout(), this.#parts.windowSeconds());
  }
}
